package org.cornelspoke.coordination.quarantine;

import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.quarantine.CrashReport;

/** Reports crashes of upstreams, and responses to suspected requests. Thread-safe. */
public interface CrashReporter {

  /** Ignores all reports. */
  CrashReporter NONE =
      new CrashReporter() {
        @Override
        public void reportCrash(CrashReport report) {}

        @Override
        public void reportResponse(RequestFingerprint fingerprint) {}
      };

  /** Reports a crash to the control group, again until it is recorded. */
  void reportCrash(CrashReport report);

  /** Reports that a suspected request has ended with a successful response. */
  void reportResponse(RequestFingerprint fingerprint);
}
