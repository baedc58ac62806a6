package org.cornelspoke.coordination.quarantine;

/** Provides the requests that have run in crashes of upstreams to traffic threads. Thread-safe. */
public interface QuarantineSource {

  /** Knows no requests. */
  QuarantineSource NONE = () -> Quarantine.EMPTY;

  /** Returns what is known at present. */
  Quarantine quarantine();
}
