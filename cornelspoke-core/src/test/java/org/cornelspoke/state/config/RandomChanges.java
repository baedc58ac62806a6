package org.cornelspoke.state.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;

/** Seeded random changes over a small set of ids, so that many changes affect existing entities. */
public final class RandomChanges {

  public static final OperatorId OPERATOR = new OperatorId("o1");

  private final Random random;
  private int sequence;

  public RandomChanges(long seed) {
    this.random = new Random(seed);
  }

  public ChangeRequest next() {
    sequence++;
    return request("r" + sequence, Optional.empty(), sequence, randomChange());
  }

  public static ChangeRequest request(
      String id, Optional<Revision> expected, long timestampMillis, ConfigChange change) {
    return new ChangeRequest(new RequestId(id), OPERATOR, expected, timestampMillis, change);
  }

  public static String hex(long value) {
    return "%064x".formatted(value);
  }

  public static Account account(String id, int rate) {
    return new Account(new AccountId(id), rate, 10, 1);
  }

  public static ClientKey key(String id, String account, long hash) {
    return new ClientKey(new KeyId(id), new AccountId(account), hex(hash));
  }

  public static Route route(String id, String service) {
    return new Route(
        new RouteId(id),
        "GET",
        "/" + id,
        new ServiceName(service),
        TrafficClass.BULK,
        false,
        true,
        1_000);
  }

  private ConfigChange randomChange() {
    String account = "a" + random.nextInt(8);
    String key = "k" + random.nextInt(20);
    int number = 1 + random.nextInt(1_000);
    return switch (random.nextInt(14)) {
      case 0 -> new ConfigChange.CreateAccount(account(account, number));
      case 1 -> new ConfigChange.SetAccount(account(account, number));
      case 2 -> new ConfigChange.DeleteAccount(new AccountId(account));
      case 3, 4 -> new ConfigChange.GiveKey(key(key, account, random.nextInt(40)));
      case 5 -> new ConfigChange.WithdrawKey(new KeyId(key));
      case 6 -> new ConfigChange.SetRoute(route("route" + random.nextInt(6), "s" + number % 4));
      case 7 -> new ConfigChange.DeleteRoute(new RouteId("route" + random.nextInt(6)));
      case 8 -> new ConfigChange.SetPreset(preset("p" + random.nextInt(4), number));
      case 9 -> new ConfigChange.UsePreset(new PresetName("p" + random.nextInt(4)));
      case 10 -> new ConfigChange.SetOperator(new Operator(OPERATOR, hex(number)));
      case 11 -> new ConfigChange.EvacuateDataCentre(new DataCentreId("dc" + number % 3));
      case 12 -> new ConfigChange.RestoreDataCentre(new DataCentreId("dc" + number % 3));
      default -> new ConfigChange.RotateContextSecret(hex(random.nextLong()));
    };
  }

  public static Preset preset(String name, int queueLimit) {
    Map<TrafficClass, ClassPolicy> classes = new HashMap<>();
    for (TrafficClass trafficClass : TrafficClass.values()) {
      classes.put(trafficClass, new ClassPolicy(0.5, queueLimit, 100, false));
    }
    return new Preset(new PresetName(name), 2, 0.1, 1_000, classes);
  }
}
