package org.cornelspoke.coordination.admission;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Averages the fractions that called services report, by root class and account.
 *
 * <p>One daemon sees an account less than once a second, and a class of which little is admitted as
 * seldom. If reports on an account are overdue, its average moves towards that of its class, and if
 * those on a class are, towards 1. Without any reports, all move towards 1 quickly. The average
 * over many calls bounds what one target with false reports can do.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class RoomReports {

  /** Lower bound of a fraction, so that probes find out when capacity is free again. */
  public static final double MIN_FRACTION = 0.02;

  /** Longest usual pause between two reports. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Without reports of any class, the distance of all fractions from 1 halves in this time. */
  private static final double SILENCE_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A class whose average is below this counts as held back. */
  private static final double LIMITED_FRACTION = 0.98;

  /** Bounds of the half-life of one average while there are reports on others. */
  private static final double MIN_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final double MAX_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Half-life of an average in usual intervals between two reports on it. */
  private static final double INTERVALS_PER_HALF_LIFE = 16;

  private static final double INTERVAL_WEIGHT = 0.3;
  private static final double AVERAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final double MIN_WEIGHT = 0.02;
  private static final double MAX_WEIGHT = 0.5;

  /** Bounds the state; the account without a report for the longest time is forgotten. */
  private static final int MAX_ACCOUNTS = 1_000;

  private static final class Average {
    private double fraction;
    private double intervalNanos;
    private long updatedAtNanos;

    Average(double fraction, long nowNanos) {
      this.fraction = fraction;
      this.updatedAtNanos = nowNanos;
    }

    /** Returns the fraction after it has moved towards a value since the last report. */
    double movedTowards(double value, long nowNanos) {
      double halfLifeNanos =
          Math.max(
              MIN_HALF_LIFE_NANOS,
              Math.min(MAX_HALF_LIFE_NANOS, INTERVALS_PER_HALF_LIFE * intervalNanos));
      long elapsedNanos = Math.max(0, nowNanos - updatedAtNanos);
      return value + (fraction - value) * Math.pow(0.5, elapsedNanos / halfLifeNanos);
    }

    /**
     * Adds a report.
     *
     * @param present value that the average has moved to
     * @param requests number of requests for which the report stands
     */
    void add(double present, double reported, double requests, long nowNanos) {
      long elapsedNanos = Math.max(0, nowNanos - updatedAtNanos);
      intervalNanos += INTERVAL_WEIGHT * (elapsedNanos - intervalNanos);
      double weight = requests * elapsedNanos / AVERAGE_NANOS;
      weight = Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, weight));
      fraction = present + weight * (reported - present);
      updatedAtNanos = nowNanos;
    }
  }

  private static final class ClassReports {
    private final Average average;
    private final Map<AccountId, Average> accounts = new LinkedHashMap<>();
    private long limitedAtNanos;

    ClassReports(long nowNanos) {
      average = new Average(1, nowNanos);
      limitedAtNanos = nowNanos;
    }

    double fraction(Average account, long nowNanos) {
      double classFraction = average.movedTowards(1, nowNanos);
      if (account == null) {
        return classFraction;
      }
      double fraction = account.movedTowards(classFraction, nowNanos);
      // An account is held back only as long as its class is.
      return classFraction
          + (fraction - classFraction) * recovery(nowNanos - limitedAtNanos - SILENCE_NANOS);
    }

    void onReport(long nowNanos) {
      if (average.fraction < LIMITED_FRACTION) {
        limitedAtNanos = nowNanos;
      }
    }
  }

  private final Map<TrafficClass, ClassReports> classes = new EnumMap<>(TrafficClass.class);
  private long lastReportAtNanos;

  /** Records a fraction that was reported at the end of a call; other numbers are bounded. */
  public void add(TrafficClass trafficClass, AccountId account, double reported, long nowNanos) {
    if (Double.isNaN(reported)) {
      return;
    }
    double bounded = Math.max(MIN_FRACTION, Math.min(1, reported));
    ClassReports reports = classes.get(trafficClass);
    if (reports == null) {
      reports = new ClassReports(nowNanos);
      classes.put(trafficClass, reports);
    }
    Average accountAverage = reports.accounts.get(account);
    double accountFraction = afterSilence(reports.fraction(accountAverage, nowNanos), nowNanos);
    double classFraction = afterSilence(reports.fraction(null, nowNanos), nowNanos);
    // A report stands for all requests of which one was admitted.
    reports.average.add(classFraction, bounded, classFraction / accountFraction, nowNanos);
    if (accountAverage == null) {
      accountAverage = new Average(accountFraction, nowNanos - (long) AVERAGE_NANOS);
    } else {
      // Put again, so that the map is in the order of the latest reports.
      reports.accounts.remove(account);
    }
    reports.accounts.put(account, accountAverage);
    if (reports.accounts.size() > MAX_ACCOUNTS) {
      reports.accounts.remove(reports.accounts.keySet().iterator().next());
    }
    accountAverage.add(accountFraction, bounded, 1, nowNanos);
    reports.onReport(nowNanos);
    lastReportAtNanos = nowNanos;
  }

  /** Returns the fraction of the requests of the class and account for which there is capacity. */
  public double fraction(TrafficClass trafficClass, AccountId account, long nowNanos) {
    ClassReports reports = classes.get(trafficClass);
    return reports == null
        ? 1
        : afterSilence(reports.fraction(reports.accounts.get(account), nowNanos), nowNanos);
  }

  private double afterSilence(double fraction, long nowNanos) {
    return 1 - (1 - fraction) * recovery(nowNanos - lastReportAtNanos - SILENCE_NANOS);
  }

  private static double recovery(long elapsedNanos) {
    return elapsedNanos <= 0 ? 1 : Math.pow(0.5, elapsedNanos / SILENCE_HALF_LIFE_NANOS);
  }
}
