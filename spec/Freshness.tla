----------------------------- MODULE Freshness ------------------------------
(* Proof of freshness from the control group through relays to a daemon, and revisions that never *)
(* go back. Revisions are committed by the majority. A relay that the majority does not reach     *)
(* can't complete a read index; it may still hold a deposed leader that answers without proof     *)
(* when QuorumRead = FALSE. Query and reply may take any time; at most one query of each process  *)
(* is open. Clocks run alike; each process uses only differences of its own clock.                *)
EXTENDS Integers, FiniteSets, TLC

CONSTANTS
  Relay, MaxRevision, MaxTime, Bound, MaxRestarts, MaxCuts,
  QuorumRead,     \* a relay is fresh only by a read index that a majority confirmed
  AgeFromSend,    \* freshness counts from the time when the query was sent
  OnlyUpwards,    \* a daemon refuses a lower revision than it has
  FreshAfterStart \* a restarted daemon serves only from a view that is as of a later time than its start

VARIABLES
  now, revision, committedAt, cut,
  relayRevision, relayAsOf, relayQuery,
  daemonRevision, daemonAsOf, daemonQuery, daemonStart, attached, servedRevision, reverted,
  restarts

vars == <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery, daemonRevision,
          daemonAsOf, daemonQuery, daemonStart, attached, servedRevision, reverted, restarts>>

Never == 0 - 100
NoQuery == [sentAt |-> Never, answered |-> FALSE, revision |-> 0, asOf |-> Never]

Init ==
  /\ now = 0 /\ revision = 0
  /\ committedAt = [r \in 0..MaxRevision |-> 0]
  /\ cut = {}
  /\ relayRevision = [r \in Relay |-> 0]
  /\ relayAsOf = [r \in Relay |-> Never]
  /\ relayQuery = [r \in Relay |-> NoQuery]
  /\ daemonRevision = 0 /\ daemonAsOf = Never /\ daemonQuery = NoQuery /\ daemonStart = 0
  /\ attached \in Relay
  /\ servedRevision = 0 /\ reverted = FALSE /\ restarts = 0

Tick ==
  /\ now < MaxTime
  /\ now' = now + 1
  /\ UNCHANGED <<revision, committedAt, cut, relayRevision, relayAsOf, relayQuery, daemonRevision,
                 daemonAsOf, daemonQuery, daemonStart, attached, servedRevision, reverted,
                 restarts>>

CommitRevision ==
  /\ revision < MaxRevision
  /\ revision' = revision + 1
  /\ committedAt' = [committedAt EXCEPT ![revision + 1] = now]
  /\ UNCHANGED <<now, cut, relayRevision, relayAsOf, relayQuery, daemonRevision, daemonAsOf,
                 daemonQuery, daemonStart, attached, servedRevision, reverted,
                 restarts>>

Cut(r) ==
  /\ Cardinality(cut) < MaxCuts /\ r \notin cut
  /\ cut' = cut \cup {r}
  /\ UNCHANGED <<now, revision, committedAt, relayRevision, relayAsOf, relayQuery, daemonRevision,
                 daemonAsOf, daemonQuery, daemonStart, attached, servedRevision, reverted,
                 restarts>>

RelayQuery(r) ==
  /\ relayQuery[r].sentAt = Never
  /\ relayQuery' = [relayQuery EXCEPT ![r] = [NoQuery EXCEPT !.sentAt = now]]
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, daemonRevision,
                 daemonAsOf, daemonQuery, daemonStart, attached, servedRevision, reverted,
                 restarts>>

(* The leader answers; a cut relay is answered only by a deposed leader on its own side. *)
LeaderAnswers(r) ==
  /\ relayQuery[r].sentAt # Never /\ ~relayQuery[r].answered
  /\ \/ r \notin cut /\ relayQuery' = [relayQuery EXCEPT ![r].answered = TRUE, ![r].revision = revision]
     \/ r \in cut /\ ~QuorumRead
        /\ relayQuery' = [relayQuery EXCEPT ![r].answered = TRUE, ![r].revision = relayRevision[r]]
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, daemonRevision,
                 daemonAsOf, daemonQuery, daemonStart, attached, servedRevision, reverted,
                 restarts>>

(* The reply arrives and the relay has applied what it names. *)
RelayFresh(r) ==
  /\ relayQuery[r].answered
  /\ relayRevision' = [relayRevision EXCEPT ![r] =
       IF relayQuery[r].revision > @ THEN relayQuery[r].revision ELSE @]
  /\ relayAsOf' = [relayAsOf EXCEPT ![r] = IF AgeFromSend THEN relayQuery[r].sentAt ELSE now]
  /\ relayQuery' = [relayQuery EXCEPT ![r] = NoQuery]
  /\ UNCHANGED <<now, revision, committedAt, cut, daemonRevision, daemonAsOf, daemonQuery,
                 daemonStart, attached, servedRevision, reverted,
                 restarts>>

DaemonQuery ==
  /\ daemonQuery.sentAt = Never
  /\ daemonQuery' = [NoQuery EXCEPT !.sentAt = now]
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery,
                 daemonRevision, daemonAsOf, daemonStart, attached, servedRevision, reverted,
                 restarts>>

(* The relay replies with its age. The daemon adds the age to its own time of sending. *)
RelayAnswers ==
  /\ daemonQuery.sentAt # Never /\ ~daemonQuery.answered
  /\ relayAsOf[attached] # Never
  /\ daemonQuery' = [daemonQuery EXCEPT
       !.answered = TRUE,
       !.revision = relayRevision[attached],
       !.asOf = (IF AgeFromSend THEN daemonQuery.sentAt ELSE now) - (now - relayAsOf[attached])]
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery,
                 daemonRevision, daemonAsOf, daemonStart, attached, servedRevision, reverted,
                 restarts>>

DaemonApplies ==
  /\ daemonQuery.answered
  /\ LET usable == (OnlyUpwards => daemonQuery.revision >= daemonRevision)
     IN /\ daemonRevision' = IF usable THEN daemonQuery.revision ELSE daemonRevision
        /\ daemonAsOf' = IF usable /\ daemonQuery.asOf > daemonAsOf
                         THEN daemonQuery.asOf ELSE daemonAsOf
  /\ daemonQuery' = NoQuery
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery,
                 daemonStart, attached, servedRevision, reverted,
                 restarts>>

Move(r) ==
  /\ r # attached
  /\ attached' = r
  /\ daemonQuery' = NoQuery
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery,
                 daemonRevision, daemonAsOf, daemonStart, servedRevision, reverted, restarts>>

Restart ==
  /\ restarts < MaxRestarts
  /\ restarts' = restarts + 1
  /\ daemonRevision' = 0 /\ daemonAsOf' = Never /\ daemonQuery' = NoQuery /\ daemonStart' = now
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery, attached,
                 servedRevision, reverted>>

Fresh ==
  /\ now - daemonAsOf <= Bound
  /\ FreshAfterStart => daemonAsOf > daemonStart

(* The daemon serves a keyed request. *)
Serve ==
  /\ Fresh
  /\ servedRevision' = daemonRevision
  /\ reverted' = (reverted \/ daemonRevision < servedRevision)
  /\ UNCHANGED <<now, revision, committedAt, cut, relayRevision, relayAsOf, relayQuery,
                 daemonRevision, daemonAsOf, daemonQuery, daemonStart, attached, restarts>>

Next ==
  \/ Tick \/ CommitRevision \/ DaemonQuery \/ RelayAnswers \/ DaemonApplies \/ Restart \/ Serve
  \/ \E r \in Relay : Cut(r) \/ RelayQuery(r) \/ LeaderAnswers(r) \/ RelayFresh(r) \/ Move(r)

Spec == Init /\ [][Next]_vars

(* A daemon that serves knows every revision that was committed before the bound. *)
FreshMeansCurrent ==
  Fresh => \A r \in 1..revision : committedAt[r] < now - Bound => daemonRevision >= r

(* What a daemon serves by never goes back, also across its restarts. *)
NeverReverts == ~reverted

Symmetry == Permutations(Relay)

NoFreshnessFromMinority ==
  \A r \in cut : relayAsOf[r] >= 0 => \A v \in 1..revision : committedAt[v] < relayAsOf[r] => relayRevision[r] >= v
=============================================================================
