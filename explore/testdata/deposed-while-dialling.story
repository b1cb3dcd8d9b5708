# nothing goes to a node that was heard to be deposed: request 1 went to b, which was superseded
clients 2
nodes 3
resets 1
drains 1
crashes 1
zombies 1
leaves 1
script "write own"
script "post"
event "client 0 asks for write"
event "a dies, another is promoted"
event "connection 4 to a comes up"
event "another than b is promoted, which does not notice"
