----------------------------- MODULE ShareLease -----------------------------
(* Leased shares of one account's rate and burst. The amount stands for both: they are split and  *)
(* merged alike.                                                                                  *)
(*                                                                                                *)
(* One owner, which may be replaced by another VM at any time, and several holders. Each holder   *)
(* has one FIFO connection to the owner; a crash of the holder or a change of owner drops what is *)
(* in flight. Clocks run alike here; the drift allowance of the implementation is left out.       *)
EXTENDS Integers, Sequences, FiniteSets, TLC

CONSTANTS
  Holder, Total, Lease, MaxTime, MaxFlight, MaxCrashes, MaxTakeovers,
  DecreaseFirst,     \* a recalled amount is issued again only after the holder gave it back
  ReissueAfterLease, \* the share of a lost holder is issued again only after its lease
  WaitOnTakeover,    \* a new owner issues nothing new for one lease
  CountFromSend      \* a holder counts its lease from the time it sent the renewal

VARIABLES now, held, heldUntil, record, recordUntil, toOwner, toHolder, issueFrom, crashes,
          takeovers

vars == <<now, held, heldUntil, record, recordUntil, toOwner, toHolder, issueFrom, crashes,
          takeovers>>

RECURSIVE Sum(_, _)
Sum(f, S) == IF S = {} THEN 0 ELSE LET x == CHOOSE x \in S : TRUE IN f[x] + Sum(f, S \ {x})

(* Messages are sent only while time can still pass, and only one report of a holder is open. *)
Open(h) == \E i \in 1..Len(toOwner[h]) : toOwner[h][i].kind = "report"

Init ==
  /\ now = 0
  /\ held = [h \in Holder |-> 0]
  /\ heldUntil = [h \in Holder |-> 0]
  /\ record = [h \in Holder |-> 0]
  /\ recordUntil = [h \in Holder |-> 0]
  /\ toOwner = [h \in Holder |-> <<>>]
  /\ toHolder = [h \in Holder |-> <<>>]
  /\ issueFrom = 0
  /\ crashes = 0 /\ takeovers = 0

Tick ==
  /\ now < MaxTime
  /\ now' = now + 1
  /\ UNCHANGED <<held, heldUntil, record, recordUntil, toOwner, toHolder, issueFrom, crashes,
                 takeovers>>

Active(h) == IF now < heldUntil[h] THEN held[h] ELSE 0
Spare == Total - Sum(record, Holder)

Report(h) ==
  /\ Len(toOwner[h]) < MaxFlight /\ ~Open(h)
  /\ toOwner' = [toOwner EXCEPT ![h] =
       Append(@, [kind |-> "report", amount |-> Active(h), sentAt |-> now])]
  /\ UNCHANGED <<now, held, heldUntil, record, recordUntil, toHolder, issueFrom, crashes, takeovers>>

(* The owner renews what it has recorded, adopts what a former owner issued, and may add spare. *)
OnReport(h) ==
  /\ toOwner[h] # <<>> /\ Head(toOwner[h]).kind = "report" /\ Len(toHolder[h]) < MaxFlight
  /\ LET m == Head(toOwner[h])
         adopted == IF now < issueFrom /\ record[h] < m.amount THEN m.amount ELSE record[h]
         room == Total - (Sum(record, Holder) - record[h]) - adopted
     IN \E extra \in {0, 1, 2} :
          /\ extra <= (IF now >= issueFrom THEN room ELSE 0)
          /\ record' = [record EXCEPT ![h] = adopted + extra]
          /\ toHolder' = [toHolder EXCEPT ![h] =
               Append(@, [kind |-> "grant", amount |-> adopted + extra, sentAt |-> m.sentAt])]
  /\ recordUntil' = [recordUntil EXCEPT ![h] = now + Lease]
  /\ toOwner' = [toOwner EXCEPT ![h] = Tail(@)]
  /\ UNCHANGED <<now, held, heldUntil, issueFrom, crashes, takeovers>>

OnGrant(h) ==
  /\ toHolder[h] # <<>> /\ Head(toHolder[h]).kind = "grant"
  /\ LET m == Head(toHolder[h])
     IN /\ held' = [held EXCEPT ![h] = m.amount]
        /\ heldUntil' = [heldUntil EXCEPT ![h] =
             IF CountFromSend THEN m.sentAt + Lease ELSE now + Lease]
  /\ toHolder' = [toHolder EXCEPT ![h] = Tail(@)]
  /\ UNCHANGED <<now, record, recordUntil, toOwner, issueFrom, crashes, takeovers>>

Recall(h) ==
  /\ record[h] > 0 /\ Len(toHolder[h]) < MaxFlight
  /\ ~ \E i \in 1..Len(toHolder[h]) : toHolder[h][i].kind = "recall"
  /\ toHolder' = [toHolder EXCEPT ![h] = Append(@, [kind |-> "recall", amount |-> 1, sentAt |-> now])]
  /\ record' = IF DecreaseFirst THEN record ELSE [record EXCEPT ![h] = @ - 1]
  /\ UNCHANGED <<now, held, heldUntil, recordUntil, toOwner, issueFrom, crashes, takeovers>>

OnRecall(h) ==
  /\ toHolder[h] # <<>> /\ Head(toHolder[h]).kind = "recall" /\ Len(toOwner[h]) < MaxFlight
  /\ toHolder' = [toHolder EXCEPT ![h] = Tail(@)]
  /\ IF held[h] > 0
     THEN /\ held' = [held EXCEPT ![h] = @ - 1]
          /\ toOwner' = [toOwner EXCEPT ![h] =
               Append(@, [kind |-> "return", amount |-> 1, sentAt |-> now])]
     ELSE UNCHANGED <<held, toOwner>>
  /\ UNCHANGED <<now, heldUntil, record, recordUntil, issueFrom, crashes, takeovers>>

OnReturn(h) ==
  /\ toOwner[h] # <<>> /\ Head(toOwner[h]).kind = "return"
  /\ toOwner' = [toOwner EXCEPT ![h] = Tail(@)]
  /\ record' = IF DecreaseFirst /\ record[h] > 0 THEN [record EXCEPT ![h] = @ - 1] ELSE record
  /\ UNCHANGED <<now, held, heldUntil, recordUntil, toHolder, issueFrom, crashes, takeovers>>

(* The lease of a holder has ended at the owner: its share is spare again. *)
Expire(h) ==
  /\ record[h] > 0
  /\ ReissueAfterLease => now >= recordUntil[h]
  /\ record' = [record EXCEPT ![h] = 0]
  /\ toOwner' = [toOwner EXCEPT ![h] = <<>>]
  /\ UNCHANGED <<now, held, heldUntil, recordUntil, toHolder, issueFrom, crashes, takeovers>>

(* A holder restarts empty; its connection is lost. *)
Crash(h) ==
  /\ crashes < MaxCrashes
  /\ crashes' = crashes + 1
  /\ held' = [held EXCEPT ![h] = 0]
  /\ toOwner' = [toOwner EXCEPT ![h] = <<>>]
  /\ toHolder' = [toHolder EXCEPT ![h] = <<>>]
  /\ UNCHANGED <<now, heldUntil, record, recordUntil, issueFrom, takeovers>>

(* Another VM becomes the owner and knows nothing; connections to the former one are lost. *)
Takeover ==
  /\ takeovers < MaxTakeovers
  /\ takeovers' = takeovers + 1
  /\ record' = [h \in Holder |-> 0]
  /\ recordUntil' = [h \in Holder |-> 0]
  /\ toOwner' = [h \in Holder |-> <<>>]
  /\ toHolder' = [h \in Holder |-> <<>>]
  /\ issueFrom' = IF WaitOnTakeover THEN now + Lease ELSE now
  /\ UNCHANGED <<now, held, heldUntil, crashes>>

Next ==
  \/ Tick \/ Takeover
  \/ \E h \in Holder :
       \/ Report(h) \/ OnReport(h) \/ OnGrant(h) \/ Recall(h) \/ OnRecall(h) \/ OnReturn(h)
       \/ Expire(h) \/ Crash(h)

Spec == Init /\ [][Next]_vars

(* What the holders may spend together never exceeds the account. *)
BoundHolds == Sum([h \in Holder |-> Active(h)], Holder) <= Total

Symmetry == Permutations(Holder)
=============================================================================
