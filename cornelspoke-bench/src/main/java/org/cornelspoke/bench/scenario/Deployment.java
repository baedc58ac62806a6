package org.cornelspoke.bench.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;

/**
 * Model of a deployment (design section 1.5). Service times are scaled so that slots limit the
 * throughput at a few thousand requests per second: front services take 60 to 150 ms, the deep
 * service 20 ms.
 *
 * @param deepService the service that ends every call chain
 * @param basePerSecond normal load of all accounts, 60% of the capacity of the deep service
 */
record Deployment(
    String name,
    List<String> dataCentres,
    double linkMillis,
    List<Service> services,
    List<RequestType> types,
    List<Account> accounts,
    String deepService,
    double basePerSecond) {

  /** A service with its targets. */
  record Service(String name, int targets, int slots, double workMillis) {}

  /** A request type: the services that it calls in turn and its fraction of the normal load. */
  record RequestType(
      String name, TrafficClass trafficClass, List<String> chain, double loadFraction) {}

  /** Fraction of the normal load that each of the eight accounts sends; a few are large. */
  static final List<Double> ACCOUNT_LOAD_FRACTIONS =
      List.of(.30, .25, .15, .10, .08, .05, .04, .03);

  /** Configured rate of an account as a multiple of its normal load. */
  private static final double RATE_FACTOR = 1.3;

  private static final double BURST_SECONDS = 0.5;

  static Deployment of(String name) {
    return switch (name) {
      case "cooperative" -> cooperative();
      case "softwarehouse" -> softwareHouse();
      default -> throw new IllegalArgumentException("unknown deployment: " + name);
    };
  }

  Service service(String serviceName) {
    return services.stream().filter(s -> s.name().equals(serviceName)).findFirst().orElseThrow();
  }

  /** Returns the preset for normal operation. */
  static Preset preset() {
    return new Preset(
        new PresetName("ordinary"),
        2,
        0.1,
        500,
        Map.of(
            TrafficClass.CRITICAL, new ClassPolicy(1, 100, 500, false),
            TrafficClass.INTERACTIVE, new ClassPolicy(0.9, 100, 300, false),
            TrafficClass.BULK, new ClassPolicy(0.7, 50, 200, false)));
  }

  private static Deployment cooperative() {
    return new Deployment(
        "cooperative",
        List.of("pampanga", "bulacan", "nueva-ecija"),
        0.5,
        List.of(
            new Service("iskedyul", 4, 230, 60),
            new Service("pasok", 3, 300, 100),
            new Service("katalogo", 3, 300, 150),
            new Service("hatol", 3, 40, 20)),
        List.of(
            new RequestType(
                "entry", TrafficClass.CRITICAL, List.of("pasok", "iskedyul", "hatol"), .25),
            new RequestType(
                "schedule", TrafficClass.INTERACTIVE, List.of("iskedyul", "hatol"), .33),
            new RequestType("results", TrafficClass.INTERACTIVE, List.of("hatol"), .17),
            new RequestType("download", TrafficClass.BULK, List.of("katalogo", "hatol"), .25)),
        accounts(3600),
        "hatol",
        3600);
  }

  private static Deployment softwareHouse() {
    return new Deployment(
        "softwarehouse",
        List.of("zvolen-a", "zvolen-b", "banska-a"),
        1.4,
        List.of(
            new Service("kalendar", 3, 75, 60),
            new Service("objednavky", 3, 75, 100),
            new Service("dokumenty", 3, 75, 150),
            new Service("overenie", 3, 16, 20)),
        List.of(
            new RequestType(
                "order", TrafficClass.CRITICAL, List.of("objednavky", "kalendar", "overenie"), .25),
            new RequestType(
                "calendar", TrafficClass.INTERACTIVE, List.of("kalendar", "overenie"), .33),
            new RequestType("verify", TrafficClass.INTERACTIVE, List.of("overenie"), .17),
            new RequestType("document", TrafficClass.BULK, List.of("dokumenty", "overenie"), .25)),
        accounts(1440),
        "overenie",
        1440);
  }

  private static List<Account> accounts(double basePerSecond) {
    List<Account> accounts = new ArrayList<>();
    for (int i = 0; i < ACCOUNT_LOAD_FRACTIONS.size(); i++) {
      double rate = basePerSecond * ACCOUNT_LOAD_FRACTIONS.get(i) * RATE_FACTOR;
      accounts.add(
          new Account(
              new AccountId("account-" + (i + 1)),
              rate,
              Math.max(1, rate * BURST_SECONDS),
              (int) Math.round(ACCOUNT_LOAD_FRACTIONS.get(i) * 100)));
    }
    return accounts;
  }
}
