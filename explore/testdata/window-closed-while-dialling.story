# no unsafe write runs twice, no keyed one goes out outside its window: request 10 goes out again after 1.006757632s
clients 4
nodes 4
resets 3
drains 1
crashes 1
zombies 2
leaves 1
script "write own write own"
script "post own post"
script "article fresh own write"
script "fresh write post own"
event "client 2 asks for article"
event "a second passes"
event "another than a is promoted, which does not notice"
event "another than b is promoted, which does not notice"
event "client 0 asks for write"
event "client 0 leaves"
event "c dies, another is promoted"
event "client 1 asks for post"
event "client 2 asks for fresh"
event "client 3 asks for fresh"
event "connection 10 to a comes up"
event "connection 10 to a breaks"
event "time passes"
event "connection 11 to c comes up"
event "client 0 asks for own"
event "a second passes"
event "client 3 asks for write"
event "client 1 asks for own"
event "client 0 asks for write"
event "time passes"
event "connection 17 to d comes up"
event "connection 17 to d breaks"
event "client 3 asks for post"
event "connection 16 to d comes up"
event "connection 16 to d breaks"
event "connection 19 to d comes up"
event "connection 20 to d comes up"
event "a second passes"
