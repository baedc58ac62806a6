package org.cornelspoke.state.quarantine;

import java.util.List;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * Reports which requests ran at an upstream process when it crashed. A process crashes once, so
 * that several reports of a process are about the same crash.
 *
 * @param process the upstream process; unique at its daemon and in time
 * @param daemon the daemon beside the upstream
 */
public record CrashReport(
    String process, ServiceName service, DaemonId daemon, List<RunningRequest> running) {

  /** Maximum number of requests in a report. */
  public static final int MAX_RUNNING = 512;

  /** Maximum length of a request target; longer ones are truncated by {@link RunningRequest}. */
  public static final int MAX_TARGET_CHARS = 200;

  /** Checks the components and copies the list. */
  public CrashReport {
    Assert.hasText(process, "process");
    Assert.notNull(service, "service");
    Assert.notNull(daemon, "daemon");
    running = List.copyOf(running);
    Assert.isTrue(running.size() <= MAX_RUNNING, "a report must not have too many requests");
  }

  /**
   * A request that ran at the time of the crash.
   *
   * @param headHash hash of everything in the fingerprint except the body
   * @param requestTarget path and query, for operators
   */
  public record RunningRequest(
      RequestFingerprint fingerprint,
      long headHash,
      String method,
      String requestTarget,
      AccountId account) {

    /** Checks the components and truncates the request target. */
    public RunningRequest {
      Assert.notNull(fingerprint, "fingerprint");
      Assert.hasText(method, "method");
      Assert.notNull(account, "account");
      if (requestTarget.length() > MAX_TARGET_CHARS) {
        requestTarget = requestTarget.substring(0, MAX_TARGET_CHARS);
      }
    }
  }
}
