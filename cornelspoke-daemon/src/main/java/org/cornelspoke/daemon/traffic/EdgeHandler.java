package org.cornelspoke.daemon.traffic;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.routing.ServiceChooser;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.context.CallContext;
import org.cornelspoke.protocol.context.ContextSigner;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.transport.http.ForwardedHeaders;
import org.cornelspoke.transport.http.HttpExchange;
import org.cornelspoke.transport.http.HttpHandler;
import org.cornelspoke.transport.http.RequestHead;

/** Decides for each request of a caller or upstream on whose behalf it runs, and starts it. */
final class EdgeHandler implements HttpHandler {

  /** Fair queueing needs an account; requests on open routes share this one. */
  static final AccountId OPEN_ACCOUNT = new AccountId("open");

  private static final long STALE_RETRY_MILLIS = 1_000;

  /** A preset stays in force for minutes or hours; trying again at once is useless. */
  private static final long PRESET_RETRY_MILLIS = 5_000;

  private final EdgeParts parts;
  private final Collaborators with;
  private final CurrentView currentView;
  private final ContextSigner signer;
  private final ServiceChooser services = new ServiceChooser();

  EdgeHandler(EdgeParts parts, CurrentView currentView, ContextSigner signer) {
    this.parts = parts;
    this.with = parts.with();
    this.currentView = currentView;
    this.signer = signer;
  }

  @Override
  public void onRequest(HttpExchange exchange) {
    EdgeRequest request = new EdgeRequest(parts, exchange);
    CallerHeaders headers;
    try {
      headers = with.dialect().read(exchange.head().headers());
      request.identify(headers.requestId(), headers.deadlineMillis());
    } catch (IllegalArgumentException e) {
      request.refuse(RefusalReason.BAD_REQUEST, -1);
      return;
    }
    admit(request, exchange, headers);
  }

  private void admit(EdgeRequest request, HttpExchange exchange, CallerHeaders headers) {
    FleetView view = currentView.get();
    RequestHead head = exchange.head();
    long now = System.nanoTime();
    Optional<Route> matched = view.route(host(head), head.method(), head.path());
    if (matched.isEmpty()) {
      // A daemon that has no current view can't know that there is no such route.
      if (with.views().isFresh(now) && view.hasRoutes()) {
        request.refuse(RefusalReason.NO_ROUTE, -1);
      } else {
        request.refuse(RefusalReason.STALE, STALE_RETRY_MILLIS);
      }
      return;
    }
    Route route = matched.get();
    if (headers.context() != null) {
      Optional<CallContext> context = signer.verify(headers.context(), view);
      if (context.isPresent()) {
        startNested(request, exchange, headers, route, context.get());
        return;
      }
      with.metrics().forgedContexts.inc();
    }
    startRoot(request, exchange, headers, route, view);
  }

  private void startRoot(
      EdgeRequest request,
      HttpExchange exchange,
      CallerHeaders headers,
      Route route,
      FleetView view) {
    Optional<Account> account = Optional.empty();
    if (!route.open()) {
      if (headers.key() == null) {
        request.refuse(RefusalReason.KEY, -1);
        return;
      }
      boolean fresh = with.views().isFresh(System.nanoTime());
      if (!fresh && with.settings().staleKeys() == StaleKeys.REFUSE) {
        request.refuse(RefusalReason.STALE, STALE_RETRY_MILLIS);
        return;
      }
      account = view.accountOfKey(parts.digests().of(headers.key()));
      if (account.isEmpty()) {
        // A daemon without a current view may lack a key that was given meanwhile.
        if (fresh) {
          request.refuse(RefusalReason.KEY, -1);
        } else {
          request.refuse(RefusalReason.STALE, STALE_RETRY_MILLIS);
        }
        return;
      }
    }
    Optional<Preset> preset = view.activePreset();
    if (preset.isPresent() && preset.get().policyOf(route.trafficClass()).refused()) {
      request.refuse(RefusalReason.PRESET, PRESET_RETRY_MILLIS);
      return;
    }
    // Without its context a nested call is a request like any other, but it may not retry: the
    // budget of its root request can't be found.
    int budget = headers.context() == null ? preset.map(Preset::retryBudget).orElse(0) : 0;
    long timeoutMillis =
        headers.deadlineMillis() >= 0
            ? Math.min(headers.deadlineMillis(), route.timeoutMillis())
            : route.timeoutMillis();
    CallHead head =
        callHead(
            exchange,
            route,
            account.map(Account::id),
            account.map(Account::weight).orElse(1),
            route.open() ? TrafficClass.CRITICAL : route.trafficClass(),
            view.revision(),
            Math.min(budget, route.maxAttempts() - 1));
    request.start(
        head,
        route.repeatable(),
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
        route.latencyObjectiveMillis(),
        account.filter(Account::isLimited).isPresent(),
        headers.idempotencyKey());
  }

  private void startNested(
      EdgeRequest request,
      HttpExchange exchange,
      CallerHeaders headers,
      Route route,
      CallContext context) {
    CallId parentId = context.call();
    ParentCalls.Parent parent = parts.parents().get(parentId);
    long now = System.nanoTime();
    long deadline =
        parent != null
            ? parent.deadlineNanos()
            : now
                + TimeUnit.MILLISECONDS.toNanos(
                    context.expiresAtMillis() - System.currentTimeMillis());
    if (headers.deadlineMillis() >= 0) {
      deadline = Math.min(deadline, now + TimeUnit.MILLISECONDS.toNanos(headers.deadlineMillis()));
    }
    // A parent that this daemon does not know was started before a restart or has ended.
    int budget = parent == null ? 0 : with.ledger().borrow(parentId);
    CallHead head =
        callHead(
            exchange,
            route,
            Optional.of(context.account()),
            context.weight(),
            context.trafficClass(),
            context.revision(),
            budget);
    request.setParent(parentId);
    request.start(
        head,
        route.repeatable(),
        deadline,
        route.latencyObjectiveMillis(),
        false,
        headers.idempotencyKey());
  }

  private CallHead callHead(
      HttpExchange exchange,
      Route route,
      Optional<AccountId> account,
      int weight,
      TrafficClass trafficClass,
      Revision revision,
      int budget) {
    RequestHead head = exchange.head();
    HttpDialect dialect = with.dialect();
    Headers.Builder headers = ForwardedHeaders.copyRequest(head.headers(), dialect::isReserved);
    dialect.addOrigin(headers, account);
    return new CallHead(
        services.choose(route),
        head.method(),
        head.target(),
        account.orElse(OPEN_ACCOUNT),
        weight,
        trafficClass,
        revision,
        0,
        budget,
        headers.build());
  }

  private static String host(RequestHead head) {
    String host = head.headers().get("host");
    if (host == null) {
      return Route.ANY_HOST;
    }
    int port = host.lastIndexOf(':');
    return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
  }
}
