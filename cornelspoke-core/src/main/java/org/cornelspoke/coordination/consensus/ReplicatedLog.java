package org.cornelspoke.coordination.consensus;

import java.util.Optional;
import org.cornelspoke.model.VmId;

/**
 * Client interface of the replicated log. A member that is not the leader forwards requests to the
 * leader.
 *
 * <p>Confined to the control thread. Each listener is called exactly once, on the control thread.
 */
public interface ReplicatedLog {

  /** Appends a command and reports its result once a quorum has synced it and it is applied. */
  void propose(byte[] command, ProposalListener listener);

  /**
   * Reports a commit index obtained after this call, once this member has applied it. A read of the
   * applied state in the listener is therefore linearizable.
   */
  void readIndex(ReadListener listener);

  /** Returns the leader of the current term, if known. */
  Optional<VmId> leader();

  /** Returns true if this member's role is leader; only {@link #readIndex} confirms leadership. */
  boolean isLeader();

  /** Returns the current term. */
  long term();

  /** Returns the index of the last applied entry. */
  long appliedIndex();

  /** Receives the result of a proposal. */
  interface ProposalListener {

    /** The command is durable on a quorum and applied on this member. */
    void onCommitted(long index, byte[] result);

    /** The command was not appended and will not be appended later. */
    void onNotAppended(String cause);

    /** The command may or may not be committed; the proposer must retry with the same id. */
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
