package org.cornelspoke.coordination.quota;

import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.util.Assert;

/**
 * Message between the holder of rate shares and their owner.
 *
 * <p>A session is one uninterrupted exchange about one account. Within it messages arrive in order
 * and once. The number of a later session of the same holder is greater; messages of another
 * session are ignored, so nothing from before a lost connection takes effect after it.
 */
public sealed interface ShareMessage extends ShareFrame {

  /** Returns the account. */
  AccountId account();

  /** Returns the session that the message belongs to. */
  long session();

  /**
   * Holder to owner: renews the lease and reports use. The first report of a session has sequence 1
   * and states what the holder holds.
   *
   * @param sequence number of the message in the session, from 1
   * @param held rate, burst and level held, with all that was passed on to others
   * @param returned burst without tokens that the holder gives up; nothing in the first report
   * @param demandPerSecond requests per second that arrive at the holder, by class
   * @param waiting requests that wait for a token, by class
   * @param leaseLeftNanos time for which what is held stays usable without an answer; 0 if nothing
   *     is held
   */
  record Report(
      AccountId account,
      long session,
      long sequence,
      TokenShare held,
      TokenShare returned,
      ClassAmounts demandPerSecond,
      ClassAmounts waiting,
      long leaseLeftNanos)
      implements ShareMessage {

    /** Checks the parts. */
    public Report {
      Assert.notNull(account, "account");
      Assert.notNull(held, "held");
      Assert.notNull(returned, "returned");
      Assert.isTrue(sequence >= 1, "sequence must be 1 or more");
      Assert.notNull(demandPerSecond, "demandPerSecond");
      Assert.notNull(waiting, "waiting");
      Assert.isTrue(leaseLeftNanos >= 0, "leaseLeftNanos must be 0 or more");
    }
  }

  /**
   * Owner to holder: adds to the share and answers a report.
   *
   * @param acknowledged sequence of the report that is answered, or 0 if none is
   * @param leaseNanos length of the lease, from the time when that report was sent
   * @param added what the holder gets in addition
   * @param targetBurst burst that the holder should keep; it returns more when it is not in use
   * @param exhaustion whether new requests of the account would wait in vain
   */
  record Grant(
      AccountId account,
      long session,
      long acknowledged,
      long leaseNanos,
      TokenShare added,
      double targetBurst,
      Optional<Exhaustion> exhaustion)
      implements ShareMessage {

    /** Checks the parts. */
    public Grant {
      Assert.notNull(account, "account");
      Assert.notNull(added, "added");
      Assert.isTrue(acknowledged >= 0, "acknowledged must be 0 or more");
      Assert.isTrue(leaseNanos >= 0, "leaseNanos must be 0 or more");
      Assert.notNegative(targetBurst, "targetBurst");
      Assert.notNull(exhaustion, "exhaustion");
    }
  }

  /** Owner to holder: the owner has no record of the share; the session is over. */
  record Reset(AccountId account, long session) implements ShareMessage {

    /** Checks the parts. */
    public Reset {
      Assert.notNull(account, "account");
    }
  }

  /**
   * Owner to holder: return a part of the share.
   *
   * @param keep what the holder may keep if the recall is forced
   * @param forced false if the holder decides what it does not need at this moment
   */
  record Recall(AccountId account, long session, TokenShare keep, boolean forced)
      implements ShareMessage {

    /** Checks the parts. */
    public Recall {
      Assert.notNull(account, "account");
      Assert.notNull(keep, "keep");
    }
  }

  /**
   * Holder to owner: gives up a part of the share. Every recall is answered, if only with nothing.
   *
   * @param sequence number of the message in the session
   * @param returned what the holder has given up
   */
  record Return(AccountId account, long session, long sequence, TokenShare returned)
      implements ShareMessage {

    /** Checks the parts. */
    public Return {
      Assert.notNull(account, "account");
      Assert.notNull(returned, "returned");
      Assert.isTrue(sequence >= 1, "sequence must be 1 or more");
    }
  }

  /**
   * Relay to owner: a daemon uses a share that neither the relay nor, perhaps, the owner has issued
   * until its lease ends. An owner that adopts the shares of earlier leaders reissues it only then.
   *
   * @param leaseLeftNanos time until the lease ends
   */
  record Carried(AccountId account, long session, TokenShare share, long leaseLeftNanos)
      implements ShareMessage {

    /** Checks the parts. */
    public Carried {
      Assert.notNull(account, "account");
      Assert.notNull(share, "share");
      Assert.isTrue(leaseLeftNanos >= 0, "leaseLeftNanos must be 0 or more");
    }
  }

  /**
   * Holder to owner: asks for single tokens without a share. An ask that is lost is not repeated;
   * the requests behind it run into their time limit.
   *
   * @param session session of the connection
   * @param number number of the ask in the session, from 1
   * @param requests requests that wait for a token and were not asked for before, by class
   */
  record Ask(AccountId account, long session, long number, ClassAmounts requests)
      implements ShareMessage {

    /** Checks the parts. */
    public Ask {
      Assert.notNull(account, "account");
      Assert.isTrue(number >= 1, "number must be 1 or more");
      Assert.notNull(requests, "requests");
    }
  }

  /**
   * Owner to holder: answers an ask, perhaps in several messages. Once the tokens may no longer be
   * used, their burst is the owner's again without any message.
   *
   * @param session session of the ask
   * @param number number of the ask
   * @param count tokens, 0 or more
   * @param usableNanos time after the ask was sent in which the tokens may be used
   * @param exhaustion present if the ask was refused for its exhausted classes
   */
  record Tokens(
      AccountId account,
      long session,
      long number,
      int count,
      long usableNanos,
      Optional<Exhaustion> exhaustion)
      implements ShareMessage {

    /** Checks the parts. */
    public Tokens {
      Assert.notNull(account, "account");
      Assert.isTrue(number >= 1, "number must be 1 or more");
      Assert.isTrue(count >= 0, "count must be 0 or more");
      Assert.isTrue(usableNanos >= 0, "usableNanos must be 0 or more");
      Assert.notNull(exhaustion, "exhaustion");
    }
  }
}
