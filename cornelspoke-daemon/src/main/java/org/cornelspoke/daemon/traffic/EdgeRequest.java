package org.cornelspoke.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.CallRooms;
import org.cornelspoke.coordination.admission.RetryAfterPolicy;
import org.cornelspoke.coordination.quota.CallerLimits;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.quota.TokenShare;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.RootOrigin;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.transport.http.HttpExchange;
import org.cornelspoke.transport.http.HttpResponse;

/**
 * Processes one request at the edge: acquires a rate token and a claim, forwards the request and
 * responds.
 */
final class EdgeRequest {

  private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long CLAIM_RETRY_MILLIS = 1_000;
  private static final long TABLE_FULL_RETRY_MILLIS = 60_000;
  private static final long DEFAULT_RETRY_MILLIS = 1_000;

  /** Time after its deadline from which on the end of a request is recorded as late. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Separates the values of a repeated header in a stored answer; it cannot occur in a header
   * value.
   */
  private static final String VALUE_SEPARATOR = "\n";

  private final EdgeDependencies dependencies;
  private final Collaborators collaborators;
  private final HttpExchange exchange;
  private final long startNanos;
  private final long connectionWaitNanos;
  private String requestId;
  private long callerDeadlineNanos = Long.MAX_VALUE;
  private CallHead head;
  private boolean repeatable;
  private long deadlineNanos;
  private long latencyObjectiveMillis;
  private OptionalLong tokenAcquiredAtNanos = OptionalLong.empty();
  private CallId parentCallId;
  private Optional<CallRooms> parentCallRooms = Optional.empty();
  private String idempotencyKey;
  private ClaimKey claimKey;
  private CallId claimAttempt;
  private Forwarding forwarding;
  private boolean retryUseless;
  private String parentRequestId;

  EdgeRequest(EdgeDependencies dependencies, HttpExchange exchange) {
    this.dependencies = dependencies;
    this.collaborators = dependencies.collaborators();
    this.exchange = exchange;
    this.startNanos = exchange.arrivalNanos();
    this.connectionWaitNanos = System.nanoTime() - startNanos;
    collaborators.metrics().connectionWaitTime.update(connectionWaitNanos, TimeUnit.NANOSECONDS);
    exchange.onAbandoned(this::onAbandoned);
  }

  /**
   * Sets what the caller stated about the request.
   *
   * @param newRequestId the caller's request id, or null if absent
   * @param remainingMillis remaining time of the caller, or -1 if unknown
   */
  void setCallerInfo(String newRequestId, long remainingMillis) {
    this.requestId = newRequestId;
    this.callerDeadlineNanos =
        remainingMillis < 0
            ? Long.MAX_VALUE
            : startNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
  }

  /** Returns the time from which on the time-out of the request counts. */
  long startNanos() {
    return startNanos;
  }

  /** Marks the request as a nested call; must be called before start. */
  void setParentCallId(CallId newParentCallId) {
    this.parentCallId = newParentCallId;
  }

  /**
   * Starts the request.
   *
   * @param newLatencyObjectiveMillis latency within which a response has its full value for the
   *     caller
   * @param rateLimited true if the request must acquire a rate token
   * @param newIdempotencyKey idempotency key, or null if absent
   */
  void start(
      CallHead newHead,
      boolean newRepeatable,
      long newDeadlineNanos,
      long newLatencyObjectiveMillis,
      boolean rateLimited,
      String newIdempotencyKey) {
    this.head = newHead;
    this.repeatable = newRepeatable;
    this.deadlineNanos = newDeadlineNanos;
    this.latencyObjectiveMillis = newLatencyObjectiveMillis;
    this.idempotencyKey = newIdempotencyKey;
    long now = System.nanoTime();
    if (now >= deadlineNanos) {
      refuse(RefusalReason.DEADLINE, DEFAULT_RETRY_MILLIS);
      return;
    }
    Optional<GracefulStop> stop = dependencies.stopState().stop();
    if (stop.isPresent()) {
      if (!stop.get().accepts(deadlineNanos, isNestedInRunningRequest(), now)) {
        refuse(RefusalReason.DRAINING, stop.get().retryAfterMillis(now));
        return;
      }
      long lastDeadlineNanos = stop.get().lastDeadlineNanos();
      if (lastDeadlineNanos - deadlineNanos < 0) {
        deadlineNanos = lastDeadlineNanos;
      }
    }
    if (rateLimited) {
      acquireToken(now);
    } else {
      claimOrForward();
    }
  }

  /** Returns true if a request that runs at the local upstream makes this call. */
  private boolean isNestedInRunningRequest() {
    if (parentCallId != null) {
      return dependencies.parents().get(parentCallId) != null;
    }
    return requestId != null
        && collaborators
            .dialect()
            .parentRequestId(requestId)
            .filter(dependencies.forwarding().upstreams()::isRunning)
            .isPresent();
  }

  /** Responds with a refusal; the request has not run. */
  void refuse(RefusalReason reason, long retryAfterMillis) {
    respondFromDaemon(reason, Verdict.NOT_RUN, retryAfterMillis);
  }

  private void acquireToken(long now) {
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(collaborators.settings().shareWaitMillis());
    collaborators
        .rateLimiter()
        .acquire(
            head.account(),
            head.trafficClass(),
            Math.min(deadlineNanos, now + waitNanos),
            callerLimits(),
            new RateLimiter.Listener() {
              @Override
              public void onGranted() {
                tokenAcquiredAtNanos = OptionalLong.of(System.nanoTime());
                claimOrForward();
              }

              @Override
              public void onRefused(long retryAfterMillis) {
                refuse(RefusalReason.RATE, Math.max(0, retryAfterMillis));
              }

              @Override
              public void onReturnImpossible(long retryAfterMillis) {
                retryUseless = true;
                refuse(RefusalReason.RATE, retryAfterMillis);
              }
            },
            now);
  }

  private CallerLimits callerLimits() {
    return new CallerLimits(
        startNanos,
        TimeUnit.MILLISECONDS.toNanos(Math.max(0, latencyObjectiveMillis)),
        callerDeadlineNanos,
        collaborators.dialect().honouredRetryAfterFraction(),
        TimeUnit.MILLISECONDS.toNanos(collaborators.dialect().retryAfterUnitMillis()));
  }

  private void claimOrForward() {
    if (exchange.isAbandoned()) {
      settleWithParent();
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
      return;
    }
    if (idempotencyKey == null || repeatable) {
      forward();
      return;
    }
    // An upstream may propagate the caller's key to its nested calls. A nested call is a different
    // request than its parent, so its claim must not collide with that of the parent.
    String keyHash =
        parentCallId == null
            ? dependencies.digests().of(idempotencyKey)
            : dependencies
                .digests()
                .of(
                    MessageBody.EMPTY,
                    "nested",
                    head.service().value(),
                    head.method(),
                    head.requestTarget(),
                    idempotencyKey);
    claimKey = new ClaimKey(head.account(), keyHash);
    claimAttempt = dependencies.parents().newId();
    String fingerprint =
        dependencies.digests().of(exchange.body(), head.method(), head.requestTarget());
    long claimDeadlineNanos = Math.min(deadlineNanos, System.nanoTime() + CLAIM_TIMEOUT_NANOS);
    collaborators
        .claims()
        .claim(claimKey, claimAttempt, fingerprint, claimDeadlineNanos, this::onClaim);
  }

  private void onClaim(ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Granted) {
      onClaimGranted();
    } else if (outcome instanceof ClaimOutcome.Running) {
      respondFromDaemon(RefusalReason.CLAIM_RUNNING, Verdict.MAY_HAVE_RUN, CLAIM_RETRY_MILLIS);
    } else if (outcome instanceof ClaimOutcome.Completed completed) {
      settleWithParent();
      respond(toHttpResponse(completed.response()));
    } else if (outcome instanceof ClaimOutcome.CompletedWithoutResponse) {
      respondFromDaemon(RefusalReason.ANSWER_NOT_KEPT, Verdict.MAY_HAVE_RUN, -1);
    } else if (outcome instanceof ClaimOutcome.Mismatch) {
      refuse(RefusalReason.CLAIM_MISMATCH, -1);
    } else if (outcome instanceof ClaimOutcome.TableFull) {
      refuse(RefusalReason.CLAIM_TABLE_FULL, TABLE_FULL_RETRY_MILLIS);
    } else {
      // The claim may have been stored nevertheless; release it, because this attempt never runs.
      collaborators.claims().release(claimKey, claimAttempt);
      refuse(RefusalReason.CLAIM_UNAVAILABLE, CLAIM_RETRY_MILLIS);
    }
  }

  private void onClaimGranted() {
    if (exchange.isAbandoned()) {
      collaborators.claims().release(claimKey, claimAttempt);
      settleWithParent();
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
    } else if (System.nanoTime() >= deadlineNanos) {
      collaborators.claims().release(claimKey, claimAttempt);
      refuse(RefusalReason.DEADLINE, DEFAULT_RETRY_MILLIS);
    } else {
      forward();
    }
  }

  private void forward() {
    ParentCalls.Parent parent =
        parentCallId == null ? null : dependencies.parents().get(parentCallId);
    if (parent != null) {
      parentCallRooms = parent.callRooms();
    }
    boolean nested = parentCallId != null || head.account().equals(EdgeHandler.OPEN_ACCOUNT);
    if (nested && requestId != null) {
      parentRequestId = collaborators.dialect().parentRequestId(requestId).orElse(null);
      if (parentRequestId != null) {
        onParentKnown();
      }
    }
    forwarding =
        new Forwarding(
            dependencies.forwarding(),
            head,
            exchange.body(),
            repeatable,
            nested,
            deadlineNanos,
            this::onResult);
    forwarding.start();
  }

  private void onParentKnown() {
    LocalUpstreams upstreams = dependencies.forwarding().upstreams();
    upstreams.onNestedCall(parentRequestId, System.nanoTime());
    if (head.metadata().root().isEmpty()) {
      head = head.withRoot(upstreams.rootOf(parentRequestId));
      parentCallRooms = upstreams.callRoomsOf(parentRequestId);
    }
  }

  /** Passes on for which fraction of the requests of its root a nested call found capacity. */
  private void reportRoom() {
    OptionalDouble room = forwarding == null ? OptionalDouble.empty() : forwarding.room();
    Optional<RootOrigin> root = head.metadata().root();
    if (room.isPresent() && root.isPresent()) {
      parentCallRooms.ifPresent(rooms -> rooms.add(head.service(), room.getAsDouble()));
      dependencies
          .forwarding()
          .upstreams()
          .onNestedCallRoom(root.get(), room.getAsDouble(), System.nanoTime());
    }
  }

  private void endNestedCall() {
    if (parentRequestId != null) {
      dependencies
          .forwarding()
          .upstreams()
          .onNestedCallAnswered(parentRequestId, System.nanoTime());
      parentRequestId = null;
    }
  }

  private void onResult(CallResult result) {
    endNestedCall();
    settleClaim(result);
    reportRoom();
    if (result instanceof CallResult.Responded answered) {
      collaborators.metrics().answered.inc();
      settleWithParent();
      respond(new HttpResponse(answered.status(), answered.headers(), answered.body()));
    } else if (result instanceof CallResult.Refused refused) {
      retryUseless |= refused.reason() == RefusalReason.QUARANTINED;
      long millis = refused.retryAfterMillis();
      long suggested = millis == 0 ? DEFAULT_RETRY_MILLIS : millis;
      refuse(
          refused.reason(),
          RetryAfterPolicy.retryAfterMillis(refused.reason(), suggested, latencyObjectiveMillis));
    } else if (result instanceof CallResult.Failed failed) {
      boolean unavailable = failed.reason().httpStatus() == 503;
      respondFromDaemon(
          failed.reason(), Verdict.MAY_HAVE_RUN, unavailable ? DEFAULT_RETRY_MILLIS : -1);
    }
  }

  /** A failed attempt keeps its claim, because it is unknown whether the request has run. */
  private void settleClaim(CallResult result) {
    if (claimKey == null) {
      return;
    }
    if (result instanceof CallResult.Responded answered) {
      collaborators.claims().complete(claimKey, claimAttempt, toStoredResponse(answered));
    } else if (result instanceof CallResult.Refused) {
      collaborators.claims().release(claimKey, claimAttempt);
    }
  }

  /**
   * Cancels the request after its caller has disconnected. A claimed request continues: the caller
   * is expected to resend it, and only a stored answer gives the resend a definite result.
   */
  private void onAbandoned() {
    collaborators.metrics().abandoned.inc();
    collaborators.metrics().onRefused(RefusalReason.CANCELLED);
    recordLateness("abandoned-late", System.nanoTime());
    if (forwarding != null && claimKey == null) {
      forwarding.cancel();
      endNestedCall();
      settleWithParent();
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
    }
  }

  private void respondFromDaemon(RefusalReason reason, Verdict verdict, long retryAfterMillis) {
    settleWithParent();
    collaborators.metrics().onRefused(reason);
    long now = System.nanoTime();
    if (tokenAcquiredAtNanos.isPresent() && verdict == Verdict.NOT_RUN) {
      collaborators
          .rateLimiter()
          .returnToken(head.account(), tokenAcquiredAtNanos.getAsLong(), now);
    }
    dependencies
        .decisions()
        .write(
            head != null && !repeatable
                ? DecisionLog.Subject.UNREPEATABLE_REQUEST
                : DecisionLog.Subject.REPEATABLE_REQUEST,
            now,
            () -> describe(reason, verdict, retryAfterMillis, now));
    long remainingMillis =
        callerDeadlineNanos == Long.MAX_VALUE
            ? -1
            : Math.max(0, TimeUnit.NANOSECONDS.toMillis(callerDeadlineNanos - System.nanoTime()));
    respond(
        collaborators
            .dialect()
            .toHttpResponse(
                new DaemonResponse(
                    reason, verdict, requestId, retryAfterMillis, remainingMillis, retryUseless)));
  }

  private String describe(
      RefusalReason reason, Verdict verdict, long retryAfterMillis, long nowNanos) {
    StringBuilder line = new StringBuilder(256);
    line.append("event=answered-by-daemon request=").append(requestId);
    line.append(" reason=").append(reason.code()).append(" verdict=").append(verdict.headerValue());
    line.append(" ageMillis=").append(TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos));
    line.append(" retryAfterMillis=").append(retryAfterMillis);
    if (retryUseless) {
      line.append(" retryUseless=true");
    }
    line.append(" path=").append(exchange.head().path());
    line.append(" revision=").append(collaborators.views().current().revision().number());
    line.append(" viewFresh=").append(collaborators.views().isFresh(nowNanos));
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

  /** Adds the account's configured rate and this daemon's share of it. */
  private void describeRate(StringBuilder line, long nowNanos) {
    collaborators
        .views()
        .current()
        .account(head.account())
        .ifPresent(
            account ->
                line.append(" rate=")
                    .append(account.rateTokensPerSecond())
                    .append(" burst=")
                    .append(account.burstTokens()));
    TokenShare localShare = collaborators.rateLimiter().heldShare(head.account(), nowNanos);
    line.append(" heldRate=").append(Math.round(localShare.rateTokensPerSecond()));
    line.append(" heldTokens=").append(Math.round(localShare.levelTokens()));
  }

  private void respond(HttpResponse response) {
    long now = System.nanoTime();
    collaborators.metrics().requestTime.update(now - startNanos, TimeUnit.NANOSECONDS);
    recordLateness("answered-late", now);
    exchange.respond(response);
  }

  /** Records a request that ends after its deadline, with where and for how long it waited. */
  private void recordLateness(String event, long nowNanos) {
    if (head == null || nowNanos - deadlineNanos < LATE_NANOS) {
      return;
    }
    collaborators.metrics().lateness.update(nowNanos - deadlineNanos, TimeUnit.NANOSECONDS);
    dependencies
        .decisions()
        .write(DecisionLog.Subject.LATE_REQUEST, nowNanos, () -> describeLate(event, nowNanos));
  }

  private String describeLate(String event, long nowNanos) {
    StringBuilder line = new StringBuilder(256);
    line.append("event=").append(event).append(" request=").append(requestId);
    line.append(" lateMillis=").append(TimeUnit.NANOSECONDS.toMillis(nowNanos - deadlineNanos));
    line.append(" ageMillis=").append(TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos));
    line.append(" connectionWaitMillis=")
        .append(TimeUnit.NANOSECONDS.toMillis(connectionWaitNanos));
    line.append(" path=").append(exchange.head().path());
    line.append(" service=").append(head.service().value());
    line.append(" revision=").append(collaborators.views().current().revision().number());
    if (forwarding != null) {
      forwarding.describe(line);
    }
    return line.toString();
  }

  /** Returns unused attempts to the parent call and adds the calls made to its count. */
  private void settleWithParent() {
    if (parentCallId != null && head != null) {
      int unused = forwarding == null ? head.extraAttempts() : forwarding.unusedAttempts();
      collaborators.ledger().returnUnused(parentCallId, unused);
      ParentCalls.Parent parent = dependencies.parents().get(parentCallId);
      if (parent != null && forwarding != null) {
        parent.addDownstreamCalls(forwarding.callsMade());
      }
      parentCallId = null;
    }
  }

  private static Optional<StoredResponse> toStoredResponse(CallResult.Responded answer) {
    if (answer.body().length > StoredResponse.MAX_BODY_BYTES) {
      return Optional.empty();
    }
    Map<String, String> headers = new HashMap<>();
    for (int line = 0; line < answer.headers().size(); line++) {
      headers.merge(
          answer.headers().name(line),
          answer.headers().value(line),
          (first, second) -> first + VALUE_SEPARATOR + second);
    }
    return Optional.of(new StoredResponse(answer.status(), headers, answer.body()));
  }

  private static HttpResponse toHttpResponse(StoredResponse answer) {
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
