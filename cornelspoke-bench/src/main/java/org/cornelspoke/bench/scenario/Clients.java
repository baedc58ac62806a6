package org.cornelspoke.bench.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;

/** Open-loop callers of every account and request type, with retries of their own. */
final class Clients {

  private static final long CLIENT_LINK_NANOS = VirtualTime.MILLI;
  private static final long DEADLINE_NANOS = VirtualTime.SECOND;
  private static final long SHARE_WAIT_NANOS = 50 * VirtualTime.MILLI;
  private static final int MAX_CONNECT_TRIES = 5;

  private final Cluster cluster;
  private final Measures measures;
  private final Map<AccountId, TokenCounter> exact = new HashMap<>();
  private final Map<AccountId, TokenCounter> exactForAttempts = new HashMap<>();
  private final Map<AccountId, TokenCounter> bound = new HashMap<>();
  private final double[] factor;
  private int retries;

  Clients(Cluster cluster, Measures measures) {
    this.cluster = cluster;
    this.measures = measures;
    List<Account> accounts = cluster.deployment.accounts();
    factor = new double[accounts.size()];
    for (int a = 0; a < accounts.size(); a++) {
      factor[a] = 1;
      Account account = accounts.get(a);
      exact.put(account.id(), counter(account));
      exactForAttempts.put(account.id(), counter(account));
      bound.put(account.id(), counter(account));
      for (int t = 0; t < cluster.deployment.types().size(); t++) {
        arrive(a, t);
      }
    }
  }

  /** Sets the load of an account relative to an ordinary day. */
  void setFactor(int account, double value) {
    factor[account] = value;
  }

  void setFactorOfAll(double value) {
    java.util.Arrays.fill(factor, value);
  }

  /** Sets how often callers repeat a failed request, soon and whatever Retry-After says. */
  void setRetries(int value) {
    retries = value;
  }

  private static TokenCounter counter(Account account) {
    return new TokenCounter(account.rateTokensPerSecond(), account.burstTokens());
  }

  private void arrive(int account, int type) {
    Deployment deployment = cluster.deployment;
    double perSecond =
        deployment.basePerSecond()
            * Deployment.ACCOUNT_PARTS.get(account)
            * deployment.types().get(type).part()
            * factor[account];
    double gap = -Math.log(1 - cluster.random.nextDouble()) / perSecond;
    cluster.time.after(
        (long) (gap * VirtualTime.SECOND),
        () -> {
          new Request(account, type).start();
          arrive(account, type);
        });
  }

  /** One request as its user sees it. */
  private final class Request {
    private final int accountIndex;
    private final int typeIndex;
    private final Account account;
    private final Deployment.RequestType type;
    private final long arrivedNanos = cluster.time.now();
    private int attempts;

    Request(int accountIndex, int typeIndex) {
      this.accountIndex = accountIndex;
      this.typeIndex = typeIndex;
      account = cluster.deployment.accounts().get(accountIndex);
      type = cluster.deployment.types().get(typeIndex);
    }

    void start() {
      boolean withinRate = exact.get(account.id()).tryTake(arrivedNanos);
      measures.onOffered(accountIndex, typeIndex, withinRate, arrivedNanos);
      attempt();
    }

    private void attempt() {
      attempts++;
      cluster.time.after(CLIENT_LINK_NANOS, this::atEdge);
    }

    private void atEdge() {
      Node edge = pickEdge();
      long now = cluster.time.now();
      if (edge == null) {
        failed();
        return;
      }
      if (cluster.withdrawn.contains(account.id())) {
        return;
      }
      measures.onAttempt(
          accountIndex, exactForAttempts.get(account.id()).tryTake(now), arrivedNanos);
      int incarnation = edge.incarnation;
      edge.limiter.acquire(
          account.id(),
          type.trafficClass(),
          now + SHARE_WAIT_NANOS,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              if (edge.incarnation == incarnation) {
                admitted(edge);
              }
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              measures.onRateRefused(accountIndex, arrivedNanos);
              failed();
            }
          },
          now);
    }

    private void admitted(Node edge) {
      long now = cluster.time.now();
      boolean withinBound = bound.get(account.id()).tryTake(now);
      measures.onAdmitted(accountIndex, withinBound, arrivedNanos);
      GateRequest request =
          new GateRequest(
              account.id(), account.weight(), type.trafficClass(), now + DEADLINE_NANOS);
      new Call(
              cluster,
              edge,
              type.chain(),
              0,
              request,
              type.trafficClass() != TrafficClass.CRITICAL,
              Deployment.preset().retryBudget(),
              result -> {
                if (result.success()) {
                  measures.onCompleted(accountIndex, typeIndex, arrivedNanos);
                } else {
                  failed();
                }
              })
          .start();
    }

    private void failed() {
      if (attempts <= retries) {
        long delay = (long) ((0.05 + 0.1 * cluster.random.nextDouble()) * VirtualTime.SECOND);
        cluster.time.after(delay, this::attempt);
      }
    }

    /** Callers know every daemon and try others when one does not accept a connection. */
    private Node pickEdge() {
      List<Node> edges = cluster.nodes();
      for (int i = 0; i < MAX_CONNECT_TRIES; i++) {
        Node edge = edges.get(cluster.random.nextInt(edges.size()));
        if (edge.alive) {
          return edge;
        }
      }
      return null;
    }
  }
}
