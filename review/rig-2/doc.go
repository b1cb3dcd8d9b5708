// Command review-rig-2 runs the cases 6 and following of the review: each starts one driver with the command run of
// deploy/balancer.toml and plays the members, the discovery agent and the clients of the shared platform around it, on
// loopback addresses and the real clock. It writes what was sent, answered and run to a record and exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main
