package org.cornelspoke.coordination.quota;

import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.util.Assert;

/**
 * Message between a holder of rate shares and their owner.
 *
 * <p>A session is one uninterrupted exchange about one account. Within a session messages arrive in
 * order and exactly once. Later sessions of a holder have greater numbers; messages of another
 * session are ignored, so no message sent before a lost connection takes effect after it.
 */
public sealed interface ShareMessage extends ShareFrame {

  /** Returns the account. */
  AccountId account();

  /** Returns the session that the message belongs to. */
  long session();

  /**
   * Holder to owner: renews the lease and reports use. The first report of a session has sequence
   * number 1 and states what the holder holds.
   *
   * @param sequence number of the message in the session, from 1
   * @param held rate, burst and level held, including what was issued to other holders
   * @param returned burst without tokens that the holder returns; empty in the first report
   * @param demandPerSecond requests per second that arrive at the holder, by class
   * @param waiting requests that wait for a token, by class
   * @param remainingLeaseNanos time for which the held share stays usable without a reply; 0 if
   *     nothing is held
   */
  record Report(
      AccountId account,
      long session,
      long sequence,
      TokenShare held,
      TokenShare returned,
      ClassAmounts demandPerSecond,
      ClassAmounts waiting,
      long remainingLeaseNanos)
      implements ShareMessage {

    /** Validates the components. */
    public Report {
      Assert.notNull(account, "account");
      Assert.notNull(held, "held");
      Assert.notNull(returned, "returned");
      Assert.isTrue(sequence >= 1, "sequence must be 1 or more");
      Assert.notNull(demandPerSecond, "demandPerSecond");
      Assert.notNull(waiting, "waiting");
      Assert.isTrue(remainingLeaseNanos >= 0, "remainingLeaseNanos must be 0 or more");
    }
  }

  /**
   * Owner to holder: adds to the share and acknowledges a report.
   *
   * @param acknowledgedSequence sequence number of the acknowledged report, or 0 if there is none
   * @param leaseNanos duration of the lease, from the time when that report was sent
   * @param added capacity added to the holder's share
   * @param targetBurst burst that the holder should keep; it returns any excess that is not in use
   * @param exhaustion present if new requests of the account would wait without getting a token
   */
  record Grant(
      AccountId account,
      long session,
      long acknowledgedSequence,
      long leaseNanos,
      TokenShare added,
      double targetBurst,
      Optional<Exhaustion> exhaustion)
      implements ShareMessage {

    /** Validates the components. */
    public Grant {
      Assert.notNull(account, "account");
      Assert.notNull(added, "added");
      Assert.isTrue(acknowledgedSequence >= 0, "acknowledgedSequence must be 0 or more");
      Assert.isTrue(leaseNanos >= 0, "leaseNanos must be 0 or more");
      Assert.notNegative(targetBurst, "targetBurst");
      Assert.notNull(exhaustion, "exhaustion");
    }
  }

  /** Owner to holder: the owner has no record of the share; the session has ended. */
  record Reset(AccountId account, long session) implements ShareMessage {

    /** Validates the components. */
    public Reset {
      Assert.notNull(account, "account");
    }
  }

  /**
   * Owner to holder: requests the return of a portion of the share.
   *
   * @param keep what the holder may keep if the recall is forced
   * @param forced false if the holder decides what it does not need at this moment
   */
  record Recall(AccountId account, long session, TokenShare keep, boolean forced)
      implements ShareMessage {

    /** Validates the components. */
    public Recall {
      Assert.notNull(account, "account");
      Assert.notNull(keep, "keep");
    }
  }

  /**
   * Holder to owner: returns a portion of the share. Every recall is followed by a return, which
   * may be empty.
   *
   * @param sequence number of the message in the session
   * @param returned capacity that the holder returns
   */
  record Return(AccountId account, long session, long sequence, TokenShare returned)
      implements ShareMessage {

    /** Validates the components. */
    public Return {
      Assert.notNull(account, "account");
      Assert.notNull(returned, "returned");
      Assert.isTrue(sequence >= 1, "sequence must be 1 or more");
    }
  }

  /**
   * Relay to owner: a daemon uses, until its lease ends, a share that was not issued by the relay
   * and possibly not by the owner. An owner that adopts the shares of earlier leaders does not
   * reissue it before then.
   *
   * @param remainingLeaseNanos time until the lease ends
   */
  record UnrecordedShare(
      AccountId account, long session, TokenShare share, long remainingLeaseNanos)
      implements ShareMessage {

    /** Validates the components. */
    public UnrecordedShare {
      Assert.notNull(account, "account");
      Assert.notNull(share, "share");
      Assert.isTrue(remainingLeaseNanos >= 0, "remainingLeaseNanos must be 0 or more");
    }
  }

  /**
   * Holder to owner: requests single tokens without a share. A lost token request is not
   * retransmitted; the requests waiting for it may reach their deadline.
   *
   * @param session session of the connection
   * @param number number of the token request in the session, from 1
   * @param requests requests that wait for a token and were not included before, by class
   */
  record TokenRequest(AccountId account, long session, long number, ClassAmounts requests)
      implements ShareMessage {

    /** Validates the components. */
    public TokenRequest {
      Assert.notNull(account, "account");
      Assert.isTrue(number >= 1, "number must be 1 or more");
      Assert.notNull(requests, "requests");
    }
  }

  /**
   * Owner to holder: replies to a token request, possibly in several messages. When the tokens
   * expire, their burst reverts to the owner without a message.
   *
   * @param session session of the token request
   * @param number number of the token request
   * @param count tokens, 0 or more
   * @param usableNanos time after the token request was sent during which the tokens may be used
   * @param exhaustion present if the requests of the exhausted classes were refused
   */
  record TokenReply(
      AccountId account,
      long session,
      long number,
      int count,
      long usableNanos,
      Optional<Exhaustion> exhaustion)
      implements ShareMessage {

    /** Validates the components. */
    public TokenReply {
      Assert.notNull(account, "account");
      Assert.isTrue(number >= 1, "number must be 1 or more");
      Assert.isTrue(count >= 0, "count must be 0 or more");
      Assert.isTrue(usableNanos >= 0, "usableNanos must be 0 or more");
      Assert.notNull(exhaustion, "exhaustion");
    }
  }
}
