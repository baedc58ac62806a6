package org.cornelspoke.state.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;

/**
 * Finds the requests that crash the upstreams that run them, from the requests that ran in each
 * crash of the fleet.
 *
 * <p>One crash proves nothing against any of the requests that it ended. The few requests that ran
 * in two crashes are held, and a request is blocked if it ran in three and no other one of the last
 * crash ran in more. A crash in which a held or blocked request ran counts against that request
 * only. A successful response clears a request, also a blocked one: not every run crashes its
 * upstream.
 *
 * <p>Deterministic: the table's time is the latest timestamp of the applied commands. Not
 * thread-safe; confined to the control thread.
 */
public final class QuarantineTable {

  /** Number of crashes after which a request is held. */
  public static final int CRASHES_TO_HOLD = 2;

  /**
   * Number of requests that may be held because they ran in the same two crashes. If there are
   * more, most of them were retried from one upstream to the other.
   */
  static final int MAX_HELD_TOGETHER = 16;

  /** Number of crashes after which a request is blocked. */
  public static final int CRASHES_TO_BLOCK = 3;

  /** Time after which a suspected or cleared request is dropped. */
  static final long SUSPICION_MILLIS = 60L * 60 * 1_000;

  /** Time after its last change at which a held or blocked request is dropped. */
  static final long RETENTION_MILLIS = 7L * 24 * 60 * 60 * 1_000;

  /** Maximum number of entries; about 500 bytes each. */
  public static final int MAX_ENTRIES = 4_096;

  /**
   * Order in which entries are dropped when the table is full, beginning with the least evidence.
   */
  private static final Comparator<QuarantineEntry> BY_EVIDENCE =
      Comparator.comparing(QuarantineEntry::isRefused)
          .thenComparingInt(
              entry -> entry.state() == QuarantineState.CLEARED ? 0 : entry.crashes().size())
          .thenComparingLong(QuarantineEntry::version);

  private final int maxEntries;

  /** Entries in the order of their versions. */
  private final Map<RequestFingerprint, QuarantineEntry> entries = new LinkedHashMap<>();

  private long version;
  private long floor;
  private long timestampMillis;

  /** Creates an empty table with the default limit. */
  public QuarantineTable() {
    this(MAX_ENTRIES);
  }

  /** Creates an empty table; tests use a lower limit. */
  QuarantineTable(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  /**
   * Records a crash. A report that is applied again has no effect.
   *
   * @return true if a request has been held or blocked
   */
  public boolean recordCrash(CrashReport report, long commandTimestampMillis) {
    advanceTime(commandTimestampMillis);
    List<CrashReport.RunningRequest> refusedRequests =
        report.running().stream().filter(request -> isRefused(request.fingerprint())).toList();
    List<CrashReport.RunningRequest> counted =
        refusedRequests.isEmpty() ? report.running() : refusedRequests;
    List<QuarantineEntry> repeated = new ArrayList<>();
    for (CrashReport.RunningRequest request : counted) {
      QuarantineEntry entry = addCrash(request, report);
      if (entry.crashes().size() >= CRASHES_TO_HOLD) {
        repeated.add(entry);
      }
    }
    boolean changed = refuseLikeliest(repeated);
    dropExcess();
    return changed;
  }

  /**
   * Clears a request, because a run of it has ended with a successful response.
   *
   * @return false if there is no evidence against it
   */
  public boolean recordResponse(RequestFingerprint fingerprint, long commandTimestampMillis) {
    advanceTime(commandTimestampMillis);
    return clear(fingerprint, Optional.empty());
  }

  /**
   * Clears a request by order of an operator. Later crashes count anew.
   *
   * @return false if there is no evidence against it
   */
  public boolean release(
      RequestFingerprint fingerprint, OperatorId operator, long commandTimestampMillis) {
    advanceTime(commandTimestampMillis);
    return clear(fingerprint, Optional.of(operator));
  }

  /** Returns the version, which increases with each change of an entry. */
  public long version() {
    return version;
  }

  /** Returns the entries in the order of their versions. */
  public Collection<QuarantineEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns an entry, or empty if there is no evidence about the request. */
  public Optional<QuarantineEntry> entry(RequestFingerprint fingerprint) {
    return Optional.ofNullable(entries.get(fingerprint));
  }

  /** Returns true if a holder of the given version must replace all that it has. */
  public boolean needsFullUpdate(long fromVersion) {
    return fromVersion < floor;
  }

  /** Returns the entries that changed after the version, in the order of their versions. */
  public List<QuarantineEntry> changesAfter(long fromVersion) {
    return entries.values().stream().filter(entry -> entry.version() > fromVersion).toList();
  }

  /** Returns the complete state. */
  public QuarantineSnapshot snapshot() {
    return new QuarantineSnapshot(version, floor, timestampMillis, List.copyOf(entries.values()));
  }

  /** Replaces the complete state. */
  public void restore(QuarantineSnapshot snapshot) {
    entries.clear();
    version = snapshot.version();
    floor = snapshot.floor();
    timestampMillis = snapshot.timestampMillis();
    snapshot.entries().forEach(entry -> entries.put(entry.fingerprint(), entry));
  }

  private boolean isRefused(RequestFingerprint fingerprint) {
    return entry(fingerprint).filter(QuarantineEntry::isRefused).isPresent();
  }

  private QuarantineEntry addCrash(CrashReport.RunningRequest request, CrashReport report) {
    QuarantineEntry entry = entries.get(request.fingerprint());
    boolean cleared = entry != null && entry.state() == QuarantineState.CLEARED;
    if (entry != null
        && (entry.hasCrash(report.process(), report.daemon())
            || (!cleared && entry.crashes().size() >= QuarantineEntry.MAX_CRASHES))) {
      return entry;
    }
    List<QuarantineEntry.Crash> crashes = new ArrayList<>();
    if (entry != null && !cleared) {
      crashes.addAll(entry.crashes());
    }
    crashes.add(new QuarantineEntry.Crash(report.process(), report.daemon(), timestampMillis));
    QuarantineState state = entry == null || cleared ? QuarantineState.SUSPECTED : entry.state();
    return put(request, report.service(), state, crashes, Optional.empty());
  }

  /** Holds or blocks the requests that ran in the most crashes, if the evidence suffices. */
  private boolean refuseLikeliest(List<QuarantineEntry> repeated) {
    int mostCrashes = repeated.stream().mapToInt(entry -> entry.crashes().size()).max().orElse(0);
    List<QuarantineEntry> likeliest =
        repeated.stream().filter(entry -> entry.crashes().size() == mostCrashes).toList();
    if (mostCrashes < CRASHES_TO_BLOCK && likeliest.size() > MAX_HELD_TOGETHER) {
      return false;
    }
    QuarantineState state =
        mostCrashes < CRASHES_TO_BLOCK ? QuarantineState.HELD : QuarantineState.BLOCKED;
    boolean changed = false;
    for (QuarantineEntry entry : likeliest) {
      if (entry.state() != state) {
        changed = true;
        put(entry.request(), entry.service(), state, entry.crashes(), Optional.empty());
      }
    }
    return changed;
  }

  private boolean clear(RequestFingerprint fingerprint, Optional<OperatorId> operator) {
    QuarantineEntry entry = entries.get(fingerprint);
    if (entry == null || entry.state() == QuarantineState.CLEARED) {
      return false;
    }
    put(entry.request(), entry.service(), QuarantineState.CLEARED, entry.crashes(), operator);
    return true;
  }

  private QuarantineEntry put(
      CrashReport.RunningRequest request,
      ServiceName service,
      QuarantineState state,
      List<QuarantineEntry.Crash> crashes,
      Optional<OperatorId> releasedBy) {
    version++;
    QuarantineEntry entry =
        new QuarantineEntry(request, service, state, crashes, version, timestampMillis, releasedBy);
    entries.remove(entry.fingerprint());
    entries.put(entry.fingerprint(), entry);
    return entry;
  }

  private void dropExcess() {
    entries.values().stream()
        .filter(this::isExpired)
        .toList()
        .forEach(entry -> drop(entry.fingerprint()));
    int excess = entries.size() - maxEntries;
    if (excess > 0) {
      entries.values().stream()
          .sorted(BY_EVIDENCE)
          .limit(excess)
          .toList()
          .forEach(entry -> drop(entry.fingerprint()));
    }
  }

  private boolean isExpired(QuarantineEntry entry) {
    long ageMillis = timestampMillis - entry.changedAtMillis();
    return ageMillis > (entry.isRefused() ? RETENTION_MILLIS : SUSPICION_MILLIS);
  }

  /** Holders of a suspected or cleared entry may keep it; others must learn that it is dropped. */
  private void drop(RequestFingerprint fingerprint) {
    if (entries.remove(fingerprint).isRefused()) {
      version++;
      floor = version;
    }
  }

  private void advanceTime(long commandTimestampMillis) {
    timestampMillis = Math.max(timestampMillis, commandTimestampMillis);
  }
}
