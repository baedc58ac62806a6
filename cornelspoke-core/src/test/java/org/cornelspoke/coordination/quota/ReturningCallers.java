package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;

/**
 * Callers of one account at daemons that share its rate, in virtual time. A refused caller returns
 * once at the time told, if that is within a third of its remaining time, or repeats at once.
 */
final class ReturningCallers {

  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final AccountId ACCOUNT = new AccountId("surging");
  private static final int RELAYS = 3;
  private static final long TICK_NANOS = 50 * MILLI;
  private static final long LINK_NANOS = MILLI;
  private static final long WAIT_NANOS = 200 * MILLI;
  private static final long KEEP_NANOS = 100 * MILLI;
  private static final double HONOURED_FRACTION = 0.3;
  private static final int REPEATS_AT_ONCE = 3;

  private static final ShareTimes TIMES =
      new ShareTimes(
              TimeUnit.MILLISECONDS.toNanos(3_500),
              300 * MILLI,
              1_500 * MILLI,
              TimeUnit.SECONDS.toNanos(4))
          .withMaxWaitNanos(WAIT_NANOS);

  /** One way from a client to its daemon; the return time counts from the client's receipt. */
  private static final long CLIENT_LINK_NANOS = 8 * MILLI;

  /**
   * Requests of one kind.
   *
   * @param atOnceFraction part of the callers that repeat at once
   * @param countsDown true if retries state the remaining time, not the whole timeout
   */
  record Load(
      TrafficClass trafficClass,
      double perSecond,
      long objectiveNanos,
      long timeoutNanos,
      long workNanos,
      double atOnceFraction,
      boolean countsDown) {

    Load(TrafficClass trafficClass, double perSecond, long objectiveMillis, long timeoutMillis) {
      this(trafficClass, perSecond, objectiveMillis, timeoutMillis, 0, true);
    }

    Load(
        TrafficClass trafficClass,
        double perSecond,
        long objectiveMillis,
        long timeoutMillis,
        double atOnceFraction,
        boolean countsDown) {
      this(
          trafficClass,
          perSecond,
          objectiveMillis * MILLI,
          timeoutMillis * MILLI,
          60 * MILLI,
          atOnceFraction,
          countsDown);
    }
  }

  /** Results of the callers of one class. */
  static final class Results {
    int callers;
    int attempts;
    int served;
    int inTime;
    int returned;
    int returnedServed;
    int returnedLate;
    int refusedTwice;
    int atOnceCallers;
    int atOnceServed;
    double waitSeconds;

    void add(Results other) {
      callers += other.callers;
      served += other.served;
      returned += other.returned;
      returnedServed += other.returnedServed;
      inTime += other.inTime;
      waitSeconds += other.waitSeconds;
    }

    double returnedServedFraction() {
      return returned == 0 ? 0 : (double) returnedServed / returned;
    }

    @Override
    public String toString() {
      return String.format(
          "callers %d attempts %d served %d inTime %d returned %d served %d refusedTwice %d"
              + " atOnce %d served %d wait %.1f ms",
          callers,
          attempts,
          served,
          inTime,
          returned,
          returnedServed,
          refusedTwice,
          atOnceCallers,
          atOnceServed,
          1e3 * waitSeconds / Math.max(1, served));
    }
  }

  final SimulatedNetwork network;
  final ReturnCounts counts = new ReturnCounts();
  final List<Long> grantsNanos = new ArrayList<>();
  private final Map<TrafficClass, Results> results = new EnumMap<>(TrafficClass.class);
  private final RandomGenerator arrivalRandom;
  private final RandomGenerator linkRandom;
  private final boolean scheduled;
  private final List<ShareRelay> relays = new ArrayList<>();
  private final List<ShareHolder> holders = new ArrayList<>();
  private final ShareOwner owner;
  private long nextSession = 1;
  private long loadEndNanos = Long.MAX_VALUE;

  ReturningCallers(long seed, boolean scheduled, int daemons, double rate, double burst) {
    // Separate generators, so that runs with different answers have the same callers.
    arrivalRandom = new Well19937c(seed);
    linkRandom = new Well19937c(seed + 1);
    network = new SimulatedNetwork(linkRandom);
    this.scheduled = scheduled;
    for (TrafficClass trafficClass : TrafficClass.values()) {
      results.put(trafficClass, new Results());
    }
    owner = new ShareOwner(TIMES, this::toRelay, -TimeUnit.MINUTES.toNanos(1));
    owner.confirmLeadership(0);
    owner.setAccounts(List.of(new Account(ACCOUNT, rate, burst, 1)), 0);
    for (int i = 0; i < RELAYS; i++) {
      String id = String.valueOf(i);
      relays.add(
          new ShareRelay(
              TIMES,
              message ->
                  network.after(LINK_NANOS, () -> owner.onMessage(id, message, network.nowNanos())),
              this::toHolder));
      relays.get(i).onConnected(1, 0);
    }
    for (int i = 0; i < daemons; i++) {
      holders.add(newHolder(i));
      holders.get(i).onConnected(nextSession++, 0);
    }
    tick();
  }

  Results results(TrafficClass trafficClass) {
    return results.get(trafficClass);
  }

  int servedInTime() {
    return results.values().stream().mapToInt(result -> result.inTime).sum();
  }

  /** Restarts a daemon, which loses its shares and return times. */
  void restart(int daemon) {
    holders.set(daemon, newHolder(daemon));
    nextSession += TimeUnit.SECONDS.toMicros(1);
    holders.get(daemon).onConnected(nextSession, network.nowNanos());
  }

  void setRate(double rate, double burst) {
    owner.setAccounts(List.of(new Account(ACCOUNT, rate, burst, 1)), network.nowNanos());
  }

  private ShareHolder newHolder(int index) {
    String id = String.valueOf(index);
    ShareRelay relay = relays.get(index % RELAYS);
    Consumer<ShareMessage> toOwner =
        message ->
            network.after(LINK_NANOS, () -> relay.onHolderMessage(id, message, network.nowNanos()));
    return scheduled
        ? ShareHolder.withScheduledReturns(TIMES, toOwner, KEEP_NANOS, counts)
        : new ShareHolder(TIMES, toOwner);
  }

  private void tick() {
    long now = network.nowNanos();
    owner.confirmLeadership(now);
    owner.onTick(now);
    relays.forEach(relay -> relay.onTick(now));
    List.copyOf(holders).forEach(holder -> holder.onTick(now));
    network.after(TICK_NANOS, this::tick);
  }

  private void toRelay(String id, ShareMessage message) {
    ShareRelay relay = relays.get(Integer.parseInt(id));
    network.after(LINK_NANOS, () -> relay.onOwnerMessage(message, network.nowNanos()));
  }

  private void toHolder(String id, ShareMessage message) {
    int index = Integer.parseInt(id);
    network.after(LINK_NANOS, () -> holders.get(index).onMessage(message, network.nowNanos()));
  }

  /** Starts callers at random times and at random daemons from now on. */
  void start(Load load) {
    network.after(
        (long) (-Math.log(1 - arrivalRandom.nextDouble()) / load.perSecond() * 1e9),
        () -> {
          if (network.nowNanos() < loadEndNanos) {
            new Caller(load, arrivalRandom.nextInt(holders.size())).send();
            start(load);
          }
        });
  }

  /** Runs the load for a time, and then until all callers have their answers. */
  void run(long nanos) {
    loadEndNanos = nanos;
    network.runUntil(nanos + TimeUnit.SECONDS.toNanos(6));
  }

  private final class Caller implements RateLimiter.Listener {
    private final Load load;
    private final int daemon;
    private final long startNanos = network.nowNanos();
    private final boolean repeatsAtOnce;
    private final Results result;
    private long arrivedAtNanos;
    private int attempts;
    private boolean returning;

    Caller(Load load, int daemon) {
      this.load = load;
      this.daemon = daemon;
      this.repeatsAtOnce = arrivalRandom.nextDouble() < load.atOnceFraction();
      this.result = results.get(load.trafficClass());
      result.callers++;
      result.atOnceCallers += repeatsAtOnce ? 1 : 0;
    }

    private long remainingNanos() {
      return startNanos + load.timeoutNanos() - network.nowNanos();
    }

    void send() {
      attempts++;
      result.attempts++;
      long stated = load.countsDown() ? remainingNanos() : load.timeoutNanos();
      long linkNanos = CLIENT_LINK_NANOS + (long) (linkRandom.nextDouble() * 4 * MILLI);
      network.after(linkNanos, () -> arrive(stated));
    }

    private void arrive(long statedNanos) {
      long now = network.nowNanos();
      arrivedAtNanos = now;
      holders
          .get(daemon)
          .acquire(
              ACCOUNT,
              load.trafficClass(),
              now + Math.min(statedNanos, WAIT_NANOS),
              new CallerLimits(
                  now, load.objectiveNanos(), now + statedNanos, HONOURED_FRACTION, MILLI),
              this,
              now);
    }

    @Override
    public void onGranted() {
      long now = network.nowNanos();
      grantsNanos.add(now);
      result.served++;
      result.waitSeconds += (now - startNanos) / 1e9;
      result.returnedServed += returning ? 1 : 0;
      result.atOnceServed += repeatsAtOnce ? 1 : 0;
      long answeredNanos = now + load.workNanos() + CLIENT_LINK_NANOS;
      boolean inTime = answeredNanos - startNanos <= load.objectiveNanos();
      result.inTime += inTime ? 1 : 0;
      result.returnedLate += returning && !inTime ? 1 : 0;
    }

    /** The edge shortens other delays than that of a retry that can't succeed. */
    @Override
    public void onRefused(long retryAfterMillis) {
      long honouredNanos =
          (long) ((startNanos + load.timeoutNanos() - arrivedAtNanos) * HONOURED_FRACTION);
      onRefusal(Math.min(retryAfterMillis * MILLI, honouredNanos));
    }

    @Override
    public void onReturnImpossible(long retryAfterMillis) {
      onRefusal(retryAfterMillis * MILLI);
    }

    private void onRefusal(long delayNanos) {
      if (repeatsAtOnce) {
        if (attempts <= REPEATS_AT_ONCE) {
          network.after(CLIENT_LINK_NANOS, this::send);
        }
      } else if (attempts == 1 && delayNanos <= remainingNanos() / 3) {
        returning = true;
        result.returned++;
        network.after(CLIENT_LINK_NANOS + delayNanos, this::send);
      } else if (attempts > 1) {
        result.refusedTwice++;
      }
    }
  }
}
