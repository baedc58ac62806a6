package org.cornelspoke.bench.deployment;

import static org.cornelspoke.model.TrafficClass.BULK;
import static org.cornelspoke.model.TrafficClass.CRITICAL;
import static org.cornelspoke.model.TrafficClass.INTERACTIVE;

import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.bench.upstream.NestedCall;
import org.cornelspoke.model.TrafficClass;

/** Services, routes and accounts of a deployment, with the sizes of the design's section 1.5. */
record DeploymentSpec(
    String name,
    List<String> dataCentres,
    List<ServiceSpec> services,
    List<RouteSpec> routes,
    List<AccountSpec> accounts,
    boolean requestLog) {

  private static final int LARGE_ACCOUNTS = 3;

  /**
   * Returns the deployment with the name.
   *
   * @throws IllegalArgumentException if there is none
   */
  static DeploymentSpec named(String name) {
    return switch (name) {
      case "cooperative" -> cooperative();
      case "softwarehouse" -> softwareHouse();
      case "overhead" -> overhead();
      default ->
          throw new IllegalArgumentException(
              "--deployment must be cooperative, softwarehouse or overhead: " + name);
    };
  }

  private static DeploymentSpec cooperative() {
    List<NestedCall> entryCalls =
        List.of(
            new NestedCall("/pasok/entries", "GET", "/iskedyul/members"),
            new NestedCall("/pasok/entries", "GET", "/katalogo/rules"));
    return new DeploymentSpec(
        "cooperative",
        List.of("pampanga", "bulacan", "nueva-ecija"),
        List.of(
            new ServiceSpec("iskedyul", 4, 230, 4, List.of()),
            new ServiceSpec("pasok", 3, 300, 8, entryCalls),
            new ServiceSpec("katalogo", 3, 300, 6, List.of()),
            new ServiceSpec("hatol", 3, 40, 10, List.of())),
        List.of(
            unrepeatable("entries", "/pasok/entries", "pasok", 0.15),
            unrepeatable("fees", "/pasok/fees", "pasok", 0.1),
            get("schedule", "/iskedyul", "iskedyul", INTERACTIVE, true, 0.25),
            get("members", "/iskedyul/members", "iskedyul", INTERACTIVE, false, 0),
            get("results", "/hatol", "hatol", INTERACTIVE, false, 0.2),
            get("catalogue", "/katalogo", "katalogo", BULK, false, 0.3),
            get("rules", "/katalogo/rules", "katalogo", BULK, false, 0)),
        accounts("gapan", "malolos", "angeles", "cabiao", "baliwag", "guagua", "arayat", "jaen"),
        true);
  }

  private static DeploymentSpec softwareHouse() {
    List<NestedCall> orderCalls =
        List.of(
            new NestedCall("/objednavky/orders", "GET", "/kalendar/slots"),
            new NestedCall("/objednavky/orders", "GET", "/overenie/bins"));
    return new DeploymentSpec(
        "softwarehouse",
        List.of("zvolen-a", "zvolen-b", "banska-a"),
        List.of(
            new ServiceSpec("kalendar", 3, 75, 4, List.of()),
            new ServiceSpec("objednavky", 3, 75, 8, orderCalls),
            new ServiceSpec("dokumenty", 3, 75, 10, List.of()),
            new ServiceSpec("overenie", 3, 16, 3, List.of())),
        List.of(
            unrepeatable("orders", "/objednavky/orders", "objednavky", 0.15),
            unrepeatable("payments", "/objednavky/payments", "objednavky", 0.1),
            get("calendar", "/kalendar", "kalendar", INTERACTIVE, true, 0.25),
            get("slots", "/kalendar/slots", "kalendar", INTERACTIVE, false, 0),
            get("verification", "/overenie", "overenie", INTERACTIVE, false, 0.2),
            get("bins", "/overenie/bins", "overenie", INTERACTIVE, false, 0),
            get("documents", "/dokumenty", "dokumenty", BULK, false, 0.3)),
        accounts("zvolen", "lucenec", "brezno", "detva", "krupina", "sliac", "hrinova", "poltar"),
        true);
  }

  /** Returns one target that is called, and another whose daemon forwards calls to the first. */
  private static DeploymentSpec overhead() {
    return new DeploymentSpec(
        "overhead",
        List.of("local"),
        List.of(
            new ServiceSpec("called", 1, 1_000, 0, List.of()),
            new ServiceSpec("forwarding", 1, 1_000, 0, List.of())),
        List.of(get("called", "/called", "called", CRITICAL, false, 1)),
        List.of(new AccountSpec("caller", 100_000, 100_000, 1, 1)),
        false);
  }

  private static RouteSpec unrepeatable(String id, String path, String service, double weight) {
    return new RouteSpec(id, "POST", path, service, CRITICAL, false, false, weight);
  }

  private static RouteSpec get(
      String id,
      String path,
      String service,
      TrafficClass trafficClass,
      boolean open,
      double weight) {
    return new RouteSpec(id, "GET", path, service, trafficClass, open, true, weight);
  }

  /** Returns the accounts: the first three are large. */
  private static List<AccountSpec> accounts(String... names) {
    List<AccountSpec> accounts = new ArrayList<>();
    for (int i = 0; i < names.length; i++) {
      accounts.add(
          i < LARGE_ACCOUNTS
              ? new AccountSpec(names[i], 150, 150, 4, 110)
              : new AccountSpec(names[i], 40, 40, 1, 25));
    }
    return accounts;
  }
}
