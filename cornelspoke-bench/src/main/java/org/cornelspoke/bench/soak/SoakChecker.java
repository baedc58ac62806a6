package org.cornelspoke.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelspoke.bench.load.AttemptRecord;
import org.cornelspoke.bench.upstream.RequestEvent;
import org.cornelspoke.model.Verdict;

/** Checks the invariants of the design on the logs of a run. Immutable. */
final class SoakChecker {

  private final SoakLogs logs;
  private final long withdrawBoundMicros;

  /**
   * Prepares the checks.
   *
   * @param withdrawBoundMillis time after which a withdrawn key must not work
   */
  SoakChecker(SoakLogs logs, long withdrawBoundMillis) {
    this.logs = logs;
    this.withdrawBoundMicros = withdrawBoundMillis * 1000;
  }

  List<CheckResult> checkAll() {
    return List.of(
        logsAreComplete(),
        nothingRanTwice(),
        everyNotRunIsTrue(),
        answersAreWholeAndOwn(),
        requestsRanForTheirAccount(),
        RateCheck.check(logs),
        withdrawnKeysStopped(),
        noKeyReachedAnUpstream(),
        noAcceptedChangeWasLost());
  }

  /** A success without a run would mean that a log is missing, and the other checks are blind. */
  CheckResult logsAreComplete() {
    Set<String> ran = new HashSet<>();
    logs.rootStarts().forEach(event -> ran.add(event.requestId()));
    List<String> violations = new ArrayList<>();
    long successes = 0;
    for (AttemptRecord attempt : logs.attempts()) {
      if (attempt.isSuccess()) {
        successes++;
        String id = attempt.answerId() == null ? attempt.requestId() : attempt.answerId();
        if (!ran.contains(id)) {
          violations.add("request " + id + " was answered, but no upstream logged it");
        }
      }
    }
    if (successes == 0) {
      violations.add("no request succeeded");
    }
    return new CheckResult("logs are complete", successes, violations);
  }

  CheckResult nothingRanTwice() {
    Map<String, List<RequestEvent>> byKey = new LinkedHashMap<>();
    for (RequestEvent event : logs.rootStarts()) {
      if (event.idempotencyKey() != null) {
        byKey.computeIfAbsent(event.idempotencyKey(), key -> new ArrayList<>()).add(event);
      }
    }
    List<String> violations = new ArrayList<>();
    byKey.forEach(
        (key, starts) -> {
          if (starts.size() > 1) {
            violations.add(
                "idempotency key "
                    + key
                    + " ran at "
                    + starts.stream().map(RequestEvent::target).toList());
          }
        });
    return new CheckResult("nothing ran twice", byKey.size(), violations);
  }

  CheckResult everyNotRunIsTrue() {
    Map<String, RequestEvent> starts = new HashMap<>();
    logs.rootStarts().forEach(event -> starts.put(event.requestId(), event));
    List<String> violations = new ArrayList<>();
    long checked = 0;
    for (AttemptRecord attempt : logs.attempts()) {
      if (Verdict.NOT_RUN.headerValue().equals(attempt.verdict())) {
        checked++;
        RequestEvent start = starts.get(attempt.requestId());
        if (start != null) {
          violations.add(
              String.format(
                  "request %s was refused as not run (%s), but ran at %s",
                  attempt.requestId(), attempt.reason(), start.target()));
        }
      }
    }
    return new CheckResult("every not-run is true", checked, violations);
  }

  CheckResult answersAreWholeAndOwn() {
    List<String> violations = new ArrayList<>();
    long checked = 0;
    for (AttemptRecord attempt : logs.attempts()) {
      if (attempt.status() >= 200 && attempt.status() < 300) {
        checked++;
        if (!attempt.belongsToRequest()) {
          violations.add(
              "request " + attempt.requestId() + " got the answer to " + attempt.answerId());
        } else if (!attempt.intact()) {
          violations.add("request " + attempt.requestId() + " got an incomplete or altered answer");
        }
      }
    }
    return new CheckResult("answers are whole and own", checked, violations);
  }

  CheckResult requestsRanForTheirAccount() {
    Map<String, AttemptRecord> attempts = logs.attemptsById();
    List<String> violations = new ArrayList<>();
    long checked = 0;
    for (RequestEvent event : logs.rootStarts()) {
      AttemptRecord attempt = attempts.get(event.requestId());
      if (attempt != null && attempt.keyId() != null && event.contextAccount() != null) {
        checked++;
        if (!event.contextAccount().equals(attempt.account())) {
          violations.add(
              String.format(
                  "request %s of account %s ran for account %s",
                  event.requestId(), attempt.account(), event.contextAccount()));
        }
      }
    }
    return new CheckResult("requests ran for their account", checked, violations);
  }

  CheckResult withdrawnKeysStopped() {
    Map<String, Long> deadlines = new HashMap<>();
    for (SoakChange change : logs.changes()) {
      if (change.isAccepted() && change.kind().equals("withdraw")) {
        deadlines.merge(
            change.argument(), change.answeredMicros() + withdrawBoundMicros, Math::min);
      }
    }
    Set<String> ran = new HashSet<>();
    logs.rootStarts().forEach(event -> ran.add(event.requestId()));
    List<String> violations = new ArrayList<>();
    long checked = 0;
    for (AttemptRecord attempt : logs.attempts()) {
      Long deadline = attempt.keyId() == null ? null : deadlines.get(attempt.keyId());
      if (deadline != null && attempt.sentMicros() > deadline) {
        checked++;
        if (attempt.isSuccess() || ran.contains(attempt.requestId())) {
          violations.add(
              String.format(
                  "request %s was served with key %s %.3f s after the bound",
                  attempt.requestId(), attempt.keyId(), (attempt.sentMicros() - deadline) / 1e6));
        }
      }
    }
    return new CheckResult("withdrawn keys stopped", checked, violations);
  }

  CheckResult noKeyReachedAnUpstream() {
    List<String> violations =
        logs.events().stream()
            .filter(RequestEvent::authorization)
            .map(
                event ->
                    "request "
                        + event.requestId()
                        + " reached "
                        + event.target()
                        + " with an Authorization header")
            .toList();
    return new CheckResult("no key reached an upstream", logs.events().size(), violations);
  }

  CheckResult noAcceptedChangeWasLost() {
    List<String> violations = new ArrayList<>();
    Map<String, JsonNode> accepted = new HashMap<>();
    long lastRevision = -1;
    List<JsonNode> entries = new ArrayList<>();
    logs.audit().path("entries").forEach(entries::add);
    entries.sort(Comparator.comparingLong(entry -> entry.path("sequence").asLong()));
    for (JsonNode entry : entries) {
      if (!entry.path("outcome").asText().equals("accepted")) {
        continue;
      }
      long revision = entry.path("revision").asLong();
      if (revision <= lastRevision) {
        violations.add("the audit trail has revision " + revision + " after " + lastRevision);
      }
      lastRevision = revision;
      if (accepted.put(entry.path("requestId").asText(), entry) != null) {
        violations.add("request id " + entry.path("requestId").asText() + " was accepted twice");
      }
    }
    Map<String, SoakChange> latest = new HashMap<>();
    Map<String, Long> latestRevision = new HashMap<>();
    for (SoakChange change : logs.changes()) {
      JsonNode entry = accepted.get(change.requestId());
      if (entry == null && change.isAccepted()) {
        violations.add("accepted change " + change.requestId() + " is not in the audit trail");
      }
      // A change whose answer was lost may have been accepted all the same.
      if (entry != null) {
        long revision = entry.path("revision").asLong();
        if (revision > latestRevision.getOrDefault(change.subject(), -1L)) {
          latestRevision.put(change.subject(), revision);
          latest.put(change.subject(), change);
        }
      }
    }
    latest.values().stream()
        .filter(change -> !isInForce(change))
        .forEach(
            change ->
                violations.add(
                    "accepted change "
                        + change.requestId()
                        + " ("
                        + change.kind()
                        + " "
                        + change.argument()
                        + ") is not in force at the end"));
    long checked = logs.changes().stream().filter(SoakChange::isAccepted).count();
    return new CheckResult("no accepted change was lost", checked, violations);
  }

  private boolean isInForce(SoakChange change) {
    JsonNode config = logs.config();
    return switch (change.kind()) {
      case "preset" ->
          config.path("presetInForce").findValuesAsText("name").contains(change.argument());
      case "withdraw" -> !config.path("keys").findValuesAsText("id").contains(change.argument());
      default -> hasWeight(config, change.argument());
    };
  }

  private static boolean hasWeight(JsonNode config, String argument) {
    int equals = argument.indexOf('=');
    for (JsonNode account : config.path("accounts")) {
      if (account.path("id").asText().equals(argument.substring(0, equals))) {
        return account.path("weight").asText().equals(argument.substring(equals + 1));
      }
    }
    return false;
  }
}
