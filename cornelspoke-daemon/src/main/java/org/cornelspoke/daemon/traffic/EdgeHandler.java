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
import org.cornelspoke.protocol.call.RootOrigin;
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

/**
 * Authenticates and routes each request that arrives at the edge, either as a root request or as a
 * nested call, and starts it.
 */
final class EdgeHandler implements HttpHandler {

  /** Account shared by all requests on open routes, because fair queueing requires an account. */
  static final AccountId OPEN_ACCOUNT = new AccountId("open");

  private static final long STALE_RETRY_MILLIS = 1_000;

  /** A preset stays active for minutes or hours, so an immediate retry would be refused again. */
  private static final long PRESET_RETRY_MILLIS = 5_000;

  private final EdgeDependencies dependencies;
  private final Collaborators collaborators;
  private final CurrentView currentView;
  private final ContextSigner signer;
  private final ServiceChooser serviceChooser = new ServiceChooser();

  EdgeHandler(EdgeDependencies dependencies, CurrentView currentView, ContextSigner signer) {
    this.dependencies = dependencies;
    this.collaborators = dependencies.collaborators();
    this.currentView = currentView;
    this.signer = signer;
  }

  @Override
  public void onRequest(HttpExchange exchange) {
    EdgeRequest request = new EdgeRequest(dependencies, exchange);
    CallerHeaders headers;
    try {
      headers = collaborators.dialect().read(exchange.head().headers());
      request.setCallerInfo(headers.requestId(), headers.remainingMillis());
    } catch (IllegalArgumentException e) {
      request.refuse(RefusalReason.BAD_REQUEST, -1);
      return;
    }
    dispatch(request, exchange, headers);
  }

  private void dispatch(EdgeRequest request, HttpExchange exchange, CallerHeaders headers) {
    FleetView view = currentView.get();
    RequestHead head = exchange.head();
    long now = System.nanoTime();
    Optional<Route> matchingRoute = view.route(host(head), head.method(), head.path());
    if (matchingRoute.isEmpty()) {
      // Without a current view, the daemon cannot tell that the route does not exist.
      if (collaborators.views().isFresh(now) && view.hasRoutes()) {
        request.refuse(RefusalReason.NO_ROUTE, -1);
      } else {
        request.refuse(RefusalReason.STALE, STALE_RETRY_MILLIS);
      }
      return;
    }
    Route route = matchingRoute.get();
    if (headers.context() != null) {
      Optional<CallContext> context = signer.verify(headers.context(), view);
      if (context.isPresent()) {
        startNested(request, exchange, headers, route, context.get());
        return;
      }
      collaborators.metrics().forgedContexts.inc();
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
      if (headers.clientKey() == null) {
        request.refuse(RefusalReason.KEY, -1);
        return;
      }
      boolean viewIsFresh = collaborators.views().isFresh(System.nanoTime());
      if (!viewIsFresh && collaborators.settings().staleKeys() == StaleKeys.REFUSE) {
        request.refuse(RefusalReason.STALE, STALE_RETRY_MILLIS);
        return;
      }
      account = view.accountOfKey(dependencies.digests().of(headers.clientKey()));
      if (account.isEmpty()) {
        // A stale view may lack a key that was issued in the meantime.
        if (viewIsFresh) {
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
    // A nested call whose context is invalid is handled as a root request, but without retries,
    // because the budget of its root request is unknown.
    int retryBudget = headers.context() == null ? preset.map(Preset::retryBudget).orElse(0) : 0;
    long timeoutMillis =
        headers.remainingMillis() >= 0
            ? Math.min(headers.remainingMillis(), route.timeoutMillis())
            : route.timeoutMillis();
    CallHead head =
        callHead(
            exchange,
            route,
            account.map(Account::id),
            account.map(Account::weight).orElse(1),
            route.open() ? TrafficClass.CRITICAL : route.trafficClass(),
            view.revision(),
            Math.min(retryBudget, route.maxAttempts() - 1));
    request.start(
        head,
        route.repeatable(),
        request.startNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
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
    CallId parentCallId = context.call();
    ParentCalls.Parent parent = dependencies.parents().get(parentCallId);
    long startNanos = request.startNanos();
    long deadlineNanos =
        parent != null
            ? parent.deadlineNanos()
            : startNanos
                + TimeUnit.MILLISECONDS.toNanos(
                    Math.min(
                        context.expiresAtMillis() - System.currentTimeMillis(),
                        route.timeoutMillis()));
    if (headers.remainingMillis() >= 0) {
      deadlineNanos =
          Math.min(
              deadlineNanos, startNanos + TimeUnit.MILLISECONDS.toNanos(headers.remainingMillis()));
    }
    // An unknown parent was started before a restart of this daemon or has already ended.
    int retryBudget = parent == null ? 0 : collaborators.ledger().borrow(parentCallId);
    CallHead head =
        callHead(
                exchange,
                route,
                Optional.of(context.account()),
                context.weight(),
                context.trafficClass(),
                context.revision(),
                retryBudget)
            .withRoot(rootOf(context, parent));
    request.setParentCallId(parentCallId);
    request.start(
        head,
        route.repeatable(),
        deadlineNanos,
        route.latencyObjectiveMillis(),
        false,
        headers.idempotencyKey());
  }

  /**
   * Returns the root of a nested call. If the parent is unknown, also after a restart of this
   * daemon, the signed context identifies the root.
   */
  private Optional<RootOrigin> rootOf(CallContext context, ParentCalls.Parent parent) {
    if (!collaborators.settings().chainAdmission().enabled()) {
      return Optional.empty();
    }
    return parent != null
        ? parent.origin()
        : Optional.of(new RootOrigin(context.account(), context.trafficClass()));
  }

  private CallHead callHead(
      HttpExchange exchange,
      Route route,
      Optional<AccountId> account,
      int weight,
      TrafficClass trafficClass,
      Revision revision,
      int retryBudget) {
    RequestHead head = exchange.head();
    HttpDialect dialect = collaborators.dialect();
    Headers.Builder headers = ForwardedHeaders.copyRequest(head.headers(), dialect::isReserved);
    dialect.addOriginHeaders(headers, account);
    return new CallHead(
        serviceChooser.choose(route),
        head.method(),
        head.target(),
        account.orElse(OPEN_ACCOUNT),
        weight,
        trafficClass,
        revision,
        0,
        retryBudget,
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
