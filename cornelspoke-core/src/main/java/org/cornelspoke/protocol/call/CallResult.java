package org.cornelspoke.protocol.call;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.util.Assert;

/** How a call ended. The type states whether the request may have run. */
public sealed interface CallResult {

  /** Returns whether the request may have run. */
  Verdict verdict();

  /**
   * The upstream returned a whole answer.
   *
   * @param headers end-to-end headers without {@code Content-Length}, except for answers that have
   *     no body by rule
   * @param body the whole body; the array must not be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, Headers headers, byte[] body) implements CallResult {

    /** Checks the status. */
    public Answered {
      Assert.isTrue(status >= 200 && status <= 999, "status must be between 200 and 999");
      Assert.notNull(headers, "headers");
      Assert.notNull(body, "body");
    }

    @Override
    public Verdict verdict() {
      return Verdict.RAN;
    }
  }

  /**
   * No byte reached the upstream, or the upstream declared that it did not run the request.
   *
   * @param retryAfterMillis when another try may succeed
   */
  record Refused(RefusalReason reason, long retryAfterMillis) implements CallResult {

    /** Checks the parts. */
    public Refused {
      Assert.notNull(reason, "reason");
      Assert.isTrue(retryAfterMillis >= 0, "retryAfterMillis must be 0 or more");
    }

    @Override
    public Verdict verdict() {
      return Verdict.NOT_RUN;
    }
  }

  /** The request was handed on and its outcome is unknown. */
  record Failed(RefusalReason reason) implements CallResult {

    /** Checks that the reason is present. */
    public Failed {
      Assert.notNull(reason, "reason");
    }

    @Override
    public Verdict verdict() {
      return Verdict.MAY_HAVE_RUN;
    }
  }
}
