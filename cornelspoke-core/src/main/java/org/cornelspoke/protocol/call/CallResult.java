package org.cornelspoke.protocol.call;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.util.Assert;

/** Result of a call. Its type determines whether the request may have run. */
public sealed interface CallResult {

  /** Returns whether the request may have run. */
  Verdict verdict();

  /**
   * The upstream returned a complete response.
   *
   * @param headers end-to-end headers without {@code Content-Length}, except for responses that by
   *     definition have no body
   * @param body the complete body; the array must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Responded(int status, Headers headers, byte[] body) implements CallResult {

    /** Checks that the components are present and the status is in range. */
    public Responded {
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
   * @param retryAfterMillis delay after which a retry may succeed
   */
  record Refused(RefusalReason reason, long retryAfterMillis) implements CallResult {

    /** Checks that the reason is present and the delay is not negative. */
    public Refused {
      Assert.notNull(reason, "reason");
      Assert.isTrue(retryAfterMillis >= 0, "retryAfterMillis must be 0 or more");
    }

    @Override
    public Verdict verdict() {
      return Verdict.NOT_RUN;
    }
  }

  /** The request was forwarded and it is unknown whether it ran. */
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
