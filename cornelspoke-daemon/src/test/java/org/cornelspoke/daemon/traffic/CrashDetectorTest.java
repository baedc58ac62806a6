package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.RequestFingerprint;
import org.junit.jupiter.api.Test;

/** Tests what is taken for a crash of an upstream, with a probe that answers as told. */
class CrashDetectorTest {

  private final Eventloop loop = Eventloop.create();
  private final Deque<Boolean> probeResults = new ArrayDeque<>();
  private final List<List<String>> crashes = new ArrayList<>();
  private final List<String> crashedProcesses = new ArrayList<>();
  private final CrashDetector detector =
      new CrashDetector(
          () -> Promise.of(probeResults.remove()),
          loop,
          process(1),
          (crashedProcess, running) -> {
            crashedProcesses.add(crashedProcess);
            crashes.add(
                running.stream().map(request -> request.fingerprint().value()).sorted().toList());
          });

  @Test
  void requestsLostTogetherBelongToOneCrash() {
    probeResults.add(true);
    long connectedAtNanos = System.nanoTime();
    run(
        () -> {
          detector.onConnectionLost(lost('a', connectedAtNanos, System.nanoTime()));
          detector.onConnectionLost(lost('b', connectedAtNanos, System.nanoTime()));
        });
    assertThat(crashes).containsExactly(List.of(id('a'), id('b')));
  }

  @Test
  void lostConnectionIsNoCrashWhileTheProcessAcceptsOthers() {
    probeResults.add(false);
    probeResults.add(false);
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    assertThat(crashes).isEmpty();
    assertThat(probeResults).isEmpty();
  }

  @Test
  void processThatAcceptsWhileItEndsIsProbedAgain() {
    probeResults.add(false);
    probeResults.add(true);
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    assertThat(crashes).containsExactly(List.of(id('a')));
  }

  @Test
  void replacedProcessHasCrashedUnderTheRequestsThatItLostLast() {
    probeResults.add(false);
    probeResults.add(false);
    long now = System.nanoTime();
    run(
        () -> {
          detector.onConnectionLost(lost('a', now - 5_000_000_000L));
          detector.onConnectionLost(lost('b', now));
        });
    detector.onAnnounced(process(2), System.nanoTime());
    assertThat(crashes).containsExactly(List.of(id('b')));
  }

  @Test
  void leavingProcessCrashesUnderNoRequest() {
    probeResults.add(true);
    run(
        () -> {
          detector.onConnectionLost(lost('a', System.nanoTime()));
          detector.stop();
        });
    detector.onAnnounced(process(2), System.nanoTime());
    assertThat(crashes).isEmpty();
  }

  @Test
  void laterLossIsAnotherCrash() {
    probeResults.add(true);
    probeResults.add(true);
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    run(() -> detector.onConnectionLost(lost('b', System.nanoTime() + 1_000_000_000L)));
    assertThat(crashedProcesses).containsExactly("i-1@1#1", "i-1@1#2").inOrder();
  }

  /** Guards against a second crash in place of late news of the first. */
  @Test
  void connectionsOfTheCrashedProcessMayEndLate() {
    probeResults.add(true);
    long connectedAtNanos = System.nanoTime();
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    run(
        () ->
            detector.onConnectionLost(
                lost('b', connectedAtNanos, System.nanoTime() + 1_000_000_000L)));
    assertThat(crashes).containsExactly(List.of(id('a')), List.of(id('b'))).inOrder();
    assertThat(crashedProcesses).containsExactly("i-1@1#1", "i-1@1#1");
  }

  @Test
  void processThatCrashesSoonAfterAnotherIsAnotherOne() {
    probeResults.add(true);
    probeResults.add(true);
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    run(() -> detector.onConnectionLost(lost('b', System.nanoTime())));
    assertThat(crashedProcesses).containsExactly("i-1@1#1", "i-1@1#2").inOrder();
  }

  @Test
  void requestSentBeforeTheAnnouncementOfItsProcessCrashesThatProcess() {
    probeResults.add(true);
    probeResults.add(true);
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    long connectedAtNanos = System.nanoTime();
    detector.onAnnounced(process(2), System.nanoTime());
    run(() -> detector.onConnectionLost(lost('b', connectedAtNanos, System.nanoTime())));
    assertThat(crashedProcesses).containsExactly("i-1@1#1", "i-1@2#2").inOrder();
  }

  @Test
  void processThatIsAnnouncedAgainHasNotCrashed() {
    probeResults.add(false);
    probeResults.add(false);
    run(() -> detector.onConnectionLost(lost('a', System.nanoTime())));
    detector.onAnnounced(process(1), System.nanoTime());
    assertThat(crashes).isEmpty();
  }

  /** Runs the action and what it schedules. */
  private void run(Runnable action) {
    loop.post(action);
    loop.delay(200, () -> {});
    loop.run();
  }

  /** Returns a request whose connection was opened just before it was lost. */
  private static LostRequest lost(char digit, long lostAtNanos) {
    return lost(digit, lostAtNanos - 1, lostAtNanos);
  }

  private static LostRequest lost(char digit, long connectedAtNanos, long lostAtNanos) {
    return new LostRequest(
        new RequestFingerprint(id(digit)),
        digit,
        "GET",
        "/read/" + digit,
        new AccountId("farm"),
        connectedAtNanos,
        0,
        lostAtNanos);
  }

  private static Optional<ProcessId> process(long startedAtMillis) {
    return Optional.of(new ProcessId("i-1", startedAtMillis));
  }

  private static String id(char digit) {
    return String.valueOf(digit).repeat(32);
  }
}
