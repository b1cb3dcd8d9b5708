# nothing new beyond the grace of a drain: request 1 went to a 501 ms after its drain was told
clients 1
nodes 2
resets 0
drains 1
crashes 0
zombies 0
leaves 0
script "write"
event "the list says that a drains"
event "time passes"
