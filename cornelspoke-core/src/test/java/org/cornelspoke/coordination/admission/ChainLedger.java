package org.cornelspoke.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.BuiltInPresets;

/**
 * Load of the deployment ledger on its bottleneck service in virtual time, with 4 of its 17 targets
 * and the rates in proportion: root daemons admit chains, whose calls pass the gates of the
 * targets.
 */
final class ChainLedger {

  /** How root requests and calls are admitted. */
  enum Mode {
    /** No throttle; calls share one account of the highest class. */
    NONE,
    /** Pressure throttle; calls share one account of the highest class. */
    PRESSURE,
    /** Room throttle; calls share one account of the highest class. */
    ROOM_WITHOUT_ROOTS,
    /** No throttle; calls are queued by the class and account of their root. */
    ROOTS,
    /** Room throttle; calls are queued by the class and account of their root. */
    CHAINS
  }

  /** A kind of root request; calls of one line follow each other. */
  record Kind(
      String name, TrafficClass trafficClass, double perSecond, double ownMillis, int lines) {}

  /** Counts of one kind and account. */
  static final class Tally {
    int offered;
    int refused;
    int failed;
    int completed;
    double slotMillis;
  }

  static final double SCALE = 4 / 17.0;
  static final int ACCOUNTS = 84;
  static final int SLOTS = 16;
  static final int GATES = 4;
  static final double CALL_MILLIS = 21.9;
  static final double OFFER_MILLIS = 358;
  private static final int CALLS_PER_LINE = 4;
  static final int ROOT_DAEMONS = 8;
  private static final ServiceName SERVICE = new ServiceName("bottleneck");
  private static final AccountId OPEN = new AccountId("open");

  private static final class Gate {
    UpstreamGate gate;
    RoomEstimator room;
    boolean frozen;
    double falseRoom = Double.NaN;
    double slowdown = 1;
  }

  private static final class RootDaemon {
    RootRequestThrottle throttle;
    PressureEstimator pressure = new PressureEstimator();
    double falseFraction = Double.NaN;
  }

  final UpstreamModel time = new UpstreamModel(1);
  final Map<String, Map<Integer, Tally>> tallies = new TreeMap<>();
  final List<Double> fractions = new ArrayList<>();
  final Mode mode;
  DoubleUnaryOperator surge = seconds -> 1;
  int heavyAccount = -1;
  double heavyFactor = 1;
  double lostReplies;
  long feedbackNanos = TimeUnit.MILLISECONDS.toNanos(20);
  private final List<Kind> kinds;
  private final SplittableRandom random;
  private final List<Gate> gates = new ArrayList<>();
  private final List<RootDaemon> daemons = new ArrayList<>();

  ChainLedger(Mode mode, List<Kind> kinds) {
    this(mode, kinds, 11);
  }

  ChainLedger(Mode mode, List<Kind> kinds, long seed) {
    this.random = new SplittableRandom(seed);
    this.mode = mode;
    this.kinds = kinds;
    for (int i = 0; i < GATES; i++) {
      Gate gate = new Gate();
      gate.gate =
          new DefaultUpstreamGate(BuiltInPresets.ordinary(), new FixedLimit(SLOTS, 0.95), 0.15);
      gate.room = new RoomEstimator(0.9, 0);
      gates.add(gate);
    }
    for (int i = 0; i < ROOT_DAEMONS; i++) {
      daemons.add(new RootDaemon());
      restartDaemon(i);
    }
    tick();
    kinds.forEach(this::scheduleArrival);
  }

  static List<Kind> ledger(TrafficClass credit) {
    return List.of(
        new Kind("balance-read", TrafficClass.INTERACTIVE, 997 * SCALE, 90, 1),
        new Kind("points-credit", credit, 322 * SCALE, 120, 2),
        new Kind("offer-read", TrafficClass.INTERACTIVE, 137 * SCALE, 0, 0));
  }

  void restartDaemon(int index) {
    RootDaemon daemon = daemons.get(index);
    daemon.pressure = new PressureEstimator();
    daemon.throttle =
        switch (mode) {
          case NONE, ROOTS -> RootRequestThrottle.none();
          case PRESSURE -> new PressureThrottle();
          case ROOM_WITHOUT_ROOTS, CHAINS -> new RoomThrottle(new SplittableRandom(index));
        };
  }

  void restartGate(int index) {
    gates.get(index).room = new RoomEstimator(0.9, time.nowNanos());
  }

  void freezeReports(int index, boolean frozen) {
    gates.get(index).frozen = frozen;
  }

  void setFalseRoom(int index, double room) {
    gates.get(index).falseRoom = room;
  }

  void setFalseFraction(int index, double fraction) {
    daemons.get(index).falseFraction = fraction;
  }

  void runSeconds(double seconds) {
    time.runUntil(time.nowNanos() + (long) (seconds * 1e9));
  }

  /**
   * Runs for a time and returns the counts of that time only; chains that still run count later.
   */
  Map<String, Map<Integer, Tally>> measureSeconds(double seconds) {
    tallies.clear();
    fractions.clear();
    runSeconds(seconds);
    return tallies;
  }

  Tally total(String kind) {
    Tally sum = new Tally();
    for (Tally tally : tallies.getOrDefault(kind, Map.of()).values()) {
      sum.offered += tally.offered;
      sum.refused += tally.refused;
      sum.failed += tally.failed;
      sum.completed += tally.completed;
      sum.slotMillis += tally.slotMillis;
    }
    return sum;
  }

  double servedFraction(String kind) {
    Tally sum = total(kind);
    return (double) sum.completed / sum.offered;
  }

  /** Returns the part of the admitted chains that completed. */
  double completedFraction() {
    int completed = 0;
    int failed = 0;
    for (Kind kind : kinds) {
      if (kind.lines() > 0) {
        completed += total(kind.name()).completed;
        failed += total(kind.name()).failed;
      }
    }
    return (double) completed / (completed + failed);
  }

  /** Returns the slots in use by completed calls and requests, as a part of all slots. */
  double utilisation(double seconds) {
    double millis = 0;
    for (Kind kind : kinds) {
      millis += total(kind.name()).slotMillis;
    }
    return millis / (seconds * 1_000 * GATES * SLOTS);
  }

  int queued() {
    return gates.stream().mapToInt(gate -> gate.gate.load().queued()).sum();
  }

  int maxStateAccounts() {
    return gates.stream().mapToInt(gate -> gate.room.accountCount()).max().orElse(0);
  }

  private void tick() {
    for (Gate gate : gates) {
      gate.gate.onTick(time.nowNanos());
      if (!gate.frozen) {
        gate.room.onTick(gate.gate.load(), time.nowNanos());
      }
    }
    if (time.nowNanos() % 100_000_000L == 0) {
      double sum = 0;
      for (RootDaemon daemon : daemons) {
        sum += daemon.throttle.admittedFraction(TrafficClass.INTERACTIVE, OPEN, time.nowNanos());
      }
      fractions.add(sum / daemons.size());
    }
    time.after(TimeUnit.MILLISECONDS.toNanos(20), this::tick);
  }

  private void scheduleArrival(Kind kind) {
    double rate = kind.perSecond() * surge.applyAsDouble(time.nowNanos() / 1e9);
    double weight = ACCOUNTS + (heavyAccount < 0 ? 0 : heavyFactor - 1);
    rate *= weight / ACCOUNTS;
    double pick = random.nextDouble() * weight;
    int account = pick >= ACCOUNTS ? heavyAccount : (int) pick;
    time.after(
        (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9),
        () -> {
          new Root(kind, account).start();
          scheduleArrival(kind);
        });
  }

  private Tally tally(Kind kind, int account) {
    return tallies
        .computeIfAbsent(kind.name(), key -> new TreeMap<>())
        .computeIfAbsent(account, key -> new Tally());
  }

  private final class Root {
    final Kind kind;
    final int accountNumber;
    final AccountId account;
    final RootDaemon daemon = daemons.get(random.nextInt(ROOT_DAEMONS));
    final long deadlineNanos = time.nowNanos() + TimeUnit.SECONDS.toNanos(5);
    double fraction;
    int openLines;
    boolean failed;

    Root(Kind kind, int accountNumber) {
      this.kind = kind;
      this.accountNumber = accountNumber;
      this.account = new AccountId("account-" + accountNumber);
    }

    void start() {
      long now = time.nowNanos();
      tally(kind, accountNumber).offered++;
      if (kind.lines() == 0) {
        // A request without calls enters at the gate itself, which answers within its objective.
        new Call(this, 0, new CallRooms()).start();
        return;
      }
      TrafficClass trafficClass = kind.trafficClass();
      fraction = daemon.throttle.admittedFraction(trafficClass, account, now);
      if (!daemon.throttle.tryAdmit(trafficClass, account, daemon.pressure.percent(now), now)) {
        tally(kind, accountNumber).refused++;
        return;
      }
      openLines = kind.lines();
      for (int line = 0; line < kind.lines(); line++) {
        time.after(
            (long) (kind.ownMillis() * 1e6),
            () -> new Call(this, CALLS_PER_LINE, new CallRooms()).start());
      }
    }

    void onLineEnded(boolean served, double room, int pressurePercent) {
      long now = time.nowNanos();
      daemon.pressure.record(pressurePercent, now);
      if (!Double.isNaN(room)) {
        daemon.throttle.onRoom(kind.trafficClass(), account, room, now);
      }
      failed |= !served;
      openLines--;
      if (openLines <= 0) {
        Tally tally = tally(kind, accountNumber);
        if (failed) {
          tally.failed++;
        } else {
          tally.completed++;
        }
      }
    }
  }

  /** The remaining calls of one line of a chain, or a request without calls. */
  private final class Call implements UpstreamGate.Listener {
    final Root root;
    final int remaining;
    final CallRooms rooms;
    final Gate gate = lessLoaded();
    GateRequest request;
    UpstreamGate.Ticket ticket;
    boolean admitted;

    Call(Root root, int remaining, CallRooms rooms) {
      this.rooms = rooms;
      this.root = root;
      this.remaining = remaining;
    }

    void start() {
      long now = time.nowNanos();
      boolean nested = remaining > 0;
      long deadline =
          Math.min(root.deadlineNanos, now + TimeUnit.MILLISECONDS.toNanos(nested ? 701 : 4_001));
      boolean byRoot = mode == Mode.ROOTS || mode == Mode.CHAINS;
      request =
          new GateRequest(
              nested && !byRoot ? OPEN : root.account,
              1,
              nested && !byRoot ? TrafficClass.CRITICAL : root.kind.trafficClass(),
              deadline,
              nested && byRoot);
      double fraction =
          Double.isNaN(root.daemon.falseFraction) ? root.fraction : root.daemon.falseFraction;
      gate.room.onArrival(
          request, nested && byRoot ? Math.max(RoomReports.MIN_FRACTION, fraction) : 1);
      ticket = gate.gate.submit(request, this, now);
      if (admitted) {
        serve();
      }
    }

    @Override
    public void onAdmitted() {
      admitted = true;
      if (ticket != null) {
        serve();
      }
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      if (remaining > 0) {
        time.after(
            1_000_000,
            () -> root.onLineEnded(false, Double.NaN, gate.gate.load().pressurePercent()));
      } else {
        tally(root.kind, root.accountNumber).refused++;
      }
    }

    private void serve() {
      double meanMillis = remaining > 0 ? CALL_MILLIS : OFFER_MILLIS;
      boolean full = gate.gate.load().inFlight() >= 0.95 * SLOTS;
      double millis = meanMillis * (0.5 + random.nextDouble()) * (full ? 1.3 : 1) * gate.slowdown;
      time.after((long) (millis * 1e6), () -> onServed(millis));
    }

    private void onServed(double millis) {
      long now = time.nowNanos();
      gate.gate.complete(ticket, Completion.SUCCESS, now);
      gate.room.onServed(request, (long) (millis * 1e6));
      Tally tally = tally(root.kind, root.accountNumber);
      tally.slotMillis += millis;
      if (remaining == 0) {
        tally.completed++;
        return;
      }
      double room =
          Double.isNaN(gate.falseRoom)
              ? gate.room.room(request.trafficClass(), request.account())
              : gate.falseRoom;
      int pressure = gate.gate.load().pressurePercent();
      if (random.nextDouble() >= lostReplies) {
        rooms.add(SERVICE, room);
      }
      if (remaining > 1) {
        time.after(2_000_000, () -> new Call(root, remaining - 1, rooms).start());
        return;
      }
      double passed = rooms.room().orElse(Double.NaN);
      time.after(feedbackNanos, () -> root.onLineEnded(true, passed, pressure));
    }

    private Gate lessLoaded() {
      Gate first = gates.get(random.nextInt(GATES));
      Gate second = gates.get(random.nextInt(GATES));
      return waiting(first) <= waiting(second) ? first : second;
    }

    private int waiting(Gate candidate) {
      GateLoad load = candidate.gate.load();
      return load.inFlight() + load.queued();
    }
  }
}
