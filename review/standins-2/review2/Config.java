package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Builds configurations in the form of the users' pages. */
public final class Config {

  public static final String KEY = "6wsjnbanfqasnmgkcuyj";

  private final List<String> routes = new ArrayList<>();
  private final Set<String> services = new TreeSet<>();

  /** Adds a route that needs the key of the only tenant. */
  public Config route(String name, String kind, String service, int priority, String timeout) {
    routes.add(
        "[\"" + name + "\",\"" + name + ".example\",\"/" + name + "/\",\"" + kind + "\",\"" + timeout
            + "\",\"1200ms\"," + priority + ",null,2,false,\"" + service + "\"]");
    services.add(service);
    return this;
  }

  public String text(String version) {
    StringBuilder table = new StringBuilder();
    for (String service : services) {
      table.append(table.length() == 0 ? "" : ",").append("[\"").append(service);
      table.append("\",\"/health\",2230,\"h1\",false]");
    }
    return "{\"version\":\"" + version + "\",\"routes\":{\"columns\":[\"name\",\"host\","
        + "\"path_prefix\",\"kind\",\"timeout\",\"latency_slo\",\"priority\",\"traffic_split\","
        + "\"max_attempts\",\"public\",\"service\"],\"rows\":[" + String.join(",", routes)
        + "]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\","
        + "\"protocol\",\"tls\"],\"rows\":[" + table + "]},\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
        + "\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],"
        + "\"rows\":[[\"pulo780\",[\"" + KEY + "\"],1,0,0]]}}";
  }
}
