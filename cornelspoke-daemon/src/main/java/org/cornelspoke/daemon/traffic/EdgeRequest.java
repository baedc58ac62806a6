package org.cornelspoke.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.RetryAfterPolicy;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.quota.TokenShare;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredAnswer;
import org.cornelspoke.transport.http.HttpExchange;
import org.cornelspoke.transport.http.HttpResponse;

/** One request at the edge: rate token, claim, attempts, answer. */
final class EdgeRequest {

  private static final long CLAIM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long CLAIM_RETRY_MILLIS = 1_000;
  private static final long TABLE_FULL_RETRY_MILLIS = 60_000;
  private static final long DEFAULT_RETRY_MILLIS = 1_000;

  /** Separates several values of one header in a stored answer; it can't occur in a value. */
  private static final String VALUE_SEPARATOR = "\n";

  private final EdgeParts parts;
  private final Collaborators with;
  private final HttpExchange exchange;
  private final long startNanos = System.nanoTime();
  private String requestId;
  private long callerEndNanos = Long.MAX_VALUE;
  private CallHead head;
  private boolean repeatable;
  private long deadlineNanos;
  private long objectiveMillis;
  private OptionalLong tokenTakenNanos = OptionalLong.empty();
  private CallId parent;
  private String idempotencyKey;
  private ClaimKey claimKey;
  private CallId claimAttempt;
  private Forwarding forwarding;

  EdgeRequest(EdgeParts parts, HttpExchange exchange) {
    this.parts = parts;
    this.with = parts.with();
    this.exchange = exchange;
    exchange.onAbandoned(this::onAbandoned);
  }

  /**
   * Notes what the caller says of the request.
   *
   * @param newRequestId or null
   * @param leftMillis time that the caller has left, or -1
   */
  void identify(String newRequestId, long leftMillis) {
    this.requestId = newRequestId;
    this.callerEndNanos =
        leftMillis < 0 ? Long.MAX_VALUE : startNanos + TimeUnit.MILLISECONDS.toNanos(leftMillis);
  }

  /** Marks the request as a nested call; must be called before start. */
  void setParent(CallId parentId) {
    this.parent = parentId;
  }

  /**
   * Starts the request.
   *
   * @param newObjectiveMillis time within which an answer is of full use to the caller
   * @param charged true if the request takes a rate token
   * @param newIdempotencyKey or null
   */
  void start(
      CallHead newHead,
      boolean newRepeatable,
      long newDeadlineNanos,
      long newObjectiveMillis,
      boolean charged,
      String newIdempotencyKey) {
    this.head = newHead;
    this.repeatable = newRepeatable;
    this.deadlineNanos = newDeadlineNanos;
    this.objectiveMillis = newObjectiveMillis;
    this.idempotencyKey = newIdempotencyKey;
    long now = System.nanoTime();
    if (now >= deadlineNanos) {
      refuse(RefusalReason.DEADLINE, DEFAULT_RETRY_MILLIS);
    } else if (charged) {
      takeToken(now);
    } else {
      claimOrForward();
    }
  }

  /** Answers with a refusal; the request has not run. */
  void refuse(RefusalReason reason, long retryAfterMillis) {
    answer(reason, Verdict.NOT_RUN, retryAfterMillis);
  }

  private void takeToken(long now) {
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(with.settings().shareWaitMillis());
    with.rateLimiter()
        .acquire(
            head.account(),
            head.trafficClass(),
            Math.min(deadlineNanos, now + waitNanos),
            new RateLimiter.Listener() {
              @Override
              public void onGranted() {
                tokenTakenNanos = OptionalLong.of(System.nanoTime());
                claimOrForward();
              }

              @Override
              public void onRefused(long retryAfterMillis) {
                refuse(RefusalReason.RATE, Math.max(0, retryAfterMillis));
              }
            },
            now);
  }

  private void claimOrForward() {
    if (exchange.isAbandoned()) {
      finish();
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
      return;
    }
    if (idempotencyKey == null || repeatable) {
      forward();
      return;
    }
    // Upstreams may pass the caller's key on. A nested call is another request than its parent, so
    // it must not collide with the parent's claim.
    String keyHash =
        parent == null
            ? parts.digests().of(idempotencyKey)
            : parts
                .digests()
                .of(
                    new byte[0],
                    "nested",
                    head.service().value(),
                    head.method(),
                    head.requestTarget(),
                    idempotencyKey);
    claimKey = new ClaimKey(head.account(), keyHash);
    claimAttempt = parts.parents().newId();
    String fingerprint = parts.digests().of(exchange.body(), head.method(), head.requestTarget());
    long claimDeadline = Math.min(deadlineNanos, System.nanoTime() + CLAIM_WAIT_NANOS);
    with.claims().claim(claimKey, claimAttempt, fingerprint, claimDeadline, this::onClaim);
  }

  private void onClaim(ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Granted) {
      onClaimGranted();
    } else if (outcome instanceof ClaimOutcome.Running) {
      answer(RefusalReason.CLAIM_RUNNING, Verdict.MAY_HAVE_RUN, CLAIM_RETRY_MILLIS);
    } else if (outcome instanceof ClaimOutcome.Done done) {
      finish();
      respond(storedResponse(done.answer()));
    } else if (outcome instanceof ClaimOutcome.DoneWithoutAnswer) {
      answer(RefusalReason.ANSWER_NOT_KEPT, Verdict.MAY_HAVE_RUN, -1);
    } else if (outcome instanceof ClaimOutcome.Mismatch) {
      refuse(RefusalReason.CLAIM_MISMATCH, -1);
    } else if (outcome instanceof ClaimOutcome.TableFull) {
      refuse(RefusalReason.CLAIM_TABLE_FULL, TABLE_FULL_RETRY_MILLIS);
    } else {
      // The claim may have been placed all the same; this attempt never runs.
      with.claims().release(claimKey, claimAttempt);
      refuse(RefusalReason.CLAIM_UNAVAILABLE, CLAIM_RETRY_MILLIS);
    }
  }

  private void onClaimGranted() {
    if (exchange.isAbandoned()) {
      with.claims().release(claimKey, claimAttempt);
      finish();
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
    } else if (System.nanoTime() >= deadlineNanos) {
      with.claims().release(claimKey, claimAttempt);
      refuse(RefusalReason.DEADLINE, DEFAULT_RETRY_MILLIS);
    } else {
      forward();
    }
  }

  private void forward() {
    boolean nested = parent != null || head.account().equals(EdgeHandler.OPEN_ACCOUNT);
    if (nested && requestId != null) {
      with.dialect()
          .parentRequestId(requestId)
          .ifPresent(id -> parts.forwarding().upstreams().onNestedCall(id));
    }
    forwarding =
        new Forwarding(
            parts.forwarding(),
            head,
            exchange.body(),
            repeatable,
            nested,
            deadlineNanos,
            this::onResult);
    forwarding.start();
  }

  private void onResult(CallResult result) {
    endClaim(result);
    if (result instanceof CallResult.Responded answered) {
      with.metrics().answered.inc();
      finish();
      respond(new HttpResponse(answered.status(), answered.headers(), answered.body()));
    } else if (result instanceof CallResult.Refused refused) {
      long millis = refused.retryAfterMillis();
      long suggested = millis == 0 ? DEFAULT_RETRY_MILLIS : millis;
      refuse(
          refused.reason(),
          RetryAfterPolicy.retryAfterMillis(refused.reason(), suggested, objectiveMillis));
    } else if (result instanceof CallResult.Failed failed) {
      boolean unavailable = failed.reason().httpStatus() == 503;
      answer(failed.reason(), Verdict.MAY_HAVE_RUN, unavailable ? DEFAULT_RETRY_MILLIS : -1);
    }
  }

  /** A failed attempt leaves its claim in place, because nobody knows whether it has run. */
  private void endClaim(CallResult result) {
    if (claimKey == null) {
      return;
    }
    if (result instanceof CallResult.Responded answered) {
      with.claims().complete(claimKey, claimAttempt, storedAnswer(answered));
    } else if (result instanceof CallResult.Refused) {
      with.claims().release(claimKey, claimAttempt);
    }
  }

  /**
   * Cancels what runs for the caller. A claimed request goes on: the caller is expected to send it
   * again, and only an answer gives the resend a certain result.
   */
  private void onAbandoned() {
    with.metrics().abandoned.inc();
    with.metrics().onRefused(RefusalReason.CANCELLED);
    if (forwarding != null && claimKey == null) {
      forwarding.cancel();
      finish();
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
    }
  }

  private void answer(RefusalReason reason, Verdict verdict, long retryAfterMillis) {
    finish();
    with.metrics().onRefused(reason);
    long now = System.nanoTime();
    if (tokenTakenNanos.isPresent() && verdict == Verdict.NOT_RUN) {
      with.rateLimiter().returnToken(head.account(), tokenTakenNanos.getAsLong(), now);
    }
    parts
        .decisions()
        .write(
            head != null && !repeatable,
            now,
            () -> describe(reason, verdict, retryAfterMillis, now));
    long leftMillis =
        callerEndNanos == Long.MAX_VALUE
            ? -1
            : Math.max(0, TimeUnit.NANOSECONDS.toMillis(callerEndNanos - System.nanoTime()));
    respond(
        with.dialect()
            .ownAnswer(new OwnAnswer(reason, verdict, requestId, retryAfterMillis, leftMillis)));
  }

  private String describe(
      RefusalReason reason, Verdict verdict, long retryAfterMillis, long nowNanos) {
    StringBuilder line = new StringBuilder(256);
    line.append("event=answered-by-daemon request=").append(requestId);
    line.append(" reason=").append(reason.code()).append(" verdict=").append(verdict.headerValue());
    line.append(" ageMillis=").append(TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos));
    line.append(" retryAfterMillis=").append(retryAfterMillis);
    line.append(" path=").append(exchange.head().path());
    line.append(" revision=").append(with.views().current().revision().number());
    line.append(" viewFresh=").append(with.views().isFresh(nowNanos));
    if (head != null) {
      line.append(" service=").append(head.service().value());
      line.append(" class=").append(head.trafficClass());
      line.append(" account=").append(head.account().value());
      line.append(" repeatable=").append(repeatable);
      line.append(" leftMillis=").append(TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos));
    }
    if (reason == RefusalReason.RATE) {
      describeRate(line, nowNanos);
    }
    if (forwarding != null) {
      forwarding.describe(line);
    }
    return line.toString();
  }

  /** Adds the account's configured rate, and what this daemon holds of it. */
  private void describeRate(StringBuilder line, long nowNanos) {
    with.views()
        .current()
        .account(head.account())
        .ifPresent(
            account ->
                line.append(" rate=")
                    .append(account.rateTokensPerSecond())
                    .append(" burst=")
                    .append(account.burstTokens()));
    TokenShare held = with.rateLimiter().heldShare(head.account(), nowNanos);
    line.append(" heldRate=").append(Math.round(held.rateTokensPerSecond()));
    line.append(" heldTokens=").append(Math.round(held.levelTokens()));
  }

  private void respond(HttpResponse response) {
    with.metrics().requestTime.update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
    exchange.respond(response);
  }

  private void finish() {
    if (parent != null && head != null) {
      int unused = forwarding == null ? head.extraAttempts() : forwarding.unusedAttempts();
      with.ledger().returnUnused(parent, unused);
      ParentCalls.Parent running = parts.parents().get(parent);
      if (running != null && forwarding != null) {
        running.addCalls(forwarding.callsMade());
      }
      parent = null;
    }
  }

  private static Optional<StoredAnswer> storedAnswer(CallResult.Responded answer) {
    if (answer.body().length > StoredAnswer.MAX_BODY_BYTES) {
      return Optional.empty();
    }
    Map<String, String> headers = new HashMap<>();
    for (int line = 0; line < answer.headers().size(); line++) {
      headers.merge(
          answer.headers().name(line),
          answer.headers().value(line),
          (first, second) -> first + VALUE_SEPARATOR + second);
    }
    return Optional.of(new StoredAnswer(answer.status(), headers, answer.body()));
  }

  private static HttpResponse storedResponse(StoredAnswer answer) {
    Headers.Builder headers = new Headers.Builder();
    answer
        .headers()
        .forEach(
            (name, values) -> {
              for (String value : values.split(VALUE_SEPARATOR, -1)) {
                headers.add(name, value);
              }
            });
    return new HttpResponse(answer.status(), headers.build(), answer.body());
  }
}
