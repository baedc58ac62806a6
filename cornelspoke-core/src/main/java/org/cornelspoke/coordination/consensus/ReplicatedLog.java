package org.cornelspoke.coordination.consensus;

import java.util.Optional;
import org.cornelspoke.model.VmId;

/**
 * The replicated log as its users see it, on any member: a member that does not lead forwards to
 * the leader.
 *
 * <p>Belongs to the control thread. Listeners are called exactly once, on the control thread.
 */
public interface ReplicatedLog {

  /** Appends a command and reports its result once a quorum has synced it and it is applied. */
  void propose(byte[] command, ProposalListener listener);

  /**
   * Reports an index that was committed at some moment after this call, once this member has
   * applied it. A read of the applied state in the listener is then current.
   */
  void readIndex(ReadListener listener);

  /** Returns the leader of the current term, if known. */
  Optional<VmId> leader();

  /** Returns true if this member believes that it leads. Not a proof; see {@link #readIndex}. */
  boolean isLeader();

  /** Returns the current term. */
  long term();

  /** Returns the index of the last applied entry. */
  long appliedIndex();

  /** Receives the result of a proposal. */
  interface ProposalListener {

    /** The command is durable on a quorum and applied here. */
    void onCommitted(long index, byte[] result);

    /** The command was certainly not appended and never will be. */
    void onNotAppended(String cause);

    /** The command may or may not be committed; the proposer must ask again with the same id. */
    void onUnknown(String cause);
  }

  /** Receives the result of a read-index request. */
  interface ReadListener {

    /** This member has applied everything that was committed when the request was made. */
    void onCurrent(long index);

    /** The request could not be confirmed by a quorum in time. */
    void onUnavailable(String cause);
  }
}
