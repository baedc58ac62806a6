package org.cornelspoke.bench.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;

/** Open-loop clients of every account and request type, which retry failed requests. */
final class Clients {

  private static final long CLIENT_LINK_DELAY_NANOS = VirtualTime.MILLI;
  private static final long DEADLINE_NANOS = VirtualTime.SECOND;
  private static final long MAX_SHARE_WAIT_NANOS = 50 * VirtualTime.MILLI;
  private static final int MAX_CONNECT_ATTEMPTS = 5;

  private final Cluster cluster;
  private final Measurements measurements;
  private final Map<AccountId, TokenBucket> requestBuckets = new HashMap<>();
  private final Map<AccountId, TokenBucket> attemptBuckets = new HashMap<>();
  private final Map<AccountId, TokenBucket> admissionBuckets = new HashMap<>();
  private final double[] loadFactors;
  private int maxRetries;

  Clients(Cluster cluster, Measurements measurements) {
    this.cluster = cluster;
    this.measurements = measurements;
    List<Account> accounts = cluster.deployment.accounts();
    loadFactors = new double[accounts.size()];
    for (int a = 0; a < accounts.size(); a++) {
      loadFactors[a] = 1;
      Account account = accounts.get(a);
      requestBuckets.put(account.id(), newBucket(account));
      attemptBuckets.put(account.id(), newBucket(account));
      admissionBuckets.put(account.id(), newBucket(account));
      for (int t = 0; t < cluster.deployment.types().size(); t++) {
        scheduleArrival(a, t);
      }
    }
  }

  /** Sets the load of an account as a multiple of its normal load. */
  void setLoadFactor(int account, double value) {
    loadFactors[account] = value;
  }

  void setLoadFactorOfAll(double value) {
    java.util.Arrays.fill(loadFactors, value);
  }

  /** Sets how often clients retry a failed request; they retry soon and ignore Retry-After. */
  void setMaxRetries(int value) {
    maxRetries = value;
  }

  private static TokenBucket newBucket(Account account) {
    return new TokenBucket(account.rateTokensPerSecond(), account.burstTokens());
  }

  private void scheduleArrival(int account, int type) {
    Deployment deployment = cluster.deployment;
    double arrivalsPerSecond =
        deployment.basePerSecond()
            * Deployment.ACCOUNT_LOAD_FRACTIONS.get(account)
            * deployment.types().get(type).loadFraction()
            * loadFactors[account];
    double gapSeconds = -Math.log(1 - cluster.random.nextDouble()) / arrivalsPerSecond;
    cluster.time.after(
        (long) (gapSeconds * VirtualTime.SECOND),
        () -> {
          new Request(account, type).start();
          scheduleArrival(account, type);
        });
  }

  /** One client request, including its retries. */
  private final class Request {
    private final int accountIndex;
    private final int typeIndex;
    private final Account account;
    private final Deployment.RequestType type;
    private final long arrivedAtNanos = cluster.time.now();
    private int attempts;

    Request(int accountIndex, int typeIndex) {
      this.accountIndex = accountIndex;
      this.typeIndex = typeIndex;
      account = cluster.deployment.accounts().get(accountIndex);
      type = cluster.deployment.types().get(typeIndex);
    }

    void start() {
      boolean withinRate = requestBuckets.get(account.id()).tryTake(arrivedAtNanos);
      measurements.onOffered(accountIndex, typeIndex, withinRate, arrivedAtNanos);
      attempt();
    }

    private void attempt() {
      attempts++;
      cluster.time.after(CLIENT_LINK_DELAY_NANOS, this::onArrivedAtEdge);
    }

    private void onArrivedAtEdge() {
      Node edge = selectEdge();
      long now = cluster.time.now();
      if (edge == null) {
        onFailed();
        return;
      }
      if (cluster.withdrawnAccounts.contains(account.id())) {
        return;
      }
      measurements.onAttempt(
          accountIndex, attemptBuckets.get(account.id()).tryTake(now), arrivedAtNanos);
      int incarnation = edge.incarnation;
      edge.limiter.acquire(
          account.id(),
          type.trafficClass(),
          now + MAX_SHARE_WAIT_NANOS,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              if (edge.incarnation == incarnation) {
                onAdmitted(edge);
              }
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              measurements.onRateRefused(accountIndex, arrivedAtNanos);
              onFailed();
            }
          },
          now);
    }

    private void onAdmitted(Node edge) {
      long now = cluster.time.now();
      boolean withinBound = admissionBuckets.get(account.id()).tryTake(now);
      measurements.onAdmitted(accountIndex, withinBound, arrivedAtNanos);
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
                  measurements.onCompleted(accountIndex, typeIndex, arrivedAtNanos);
                } else {
                  onFailed();
                }
              })
          .start();
    }

    private void onFailed() {
      if (attempts <= maxRetries) {
        long delayNanos = (long) ((0.05 + 0.1 * cluster.random.nextDouble()) * VirtualTime.SECOND);
        cluster.time.after(delayNanos, this::attempt);
      }
    }

    /** Selects a random daemon; a client tries another when one does not accept connections. */
    private Node selectEdge() {
      List<Node> edges = cluster.nodes();
      for (int i = 0; i < MAX_CONNECT_ATTEMPTS; i++) {
        Node edge = edges.get(cluster.random.nextInt(edges.size()));
        if (edge.alive) {
          return edge;
        }
      }
      return null;
    }
  }
}
