import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The operator: sends configurations and reads them back, at any core machine. */
final class Operator {

  private final Fleet fleet;
  private final int coreCount;
  private int next;

  Operator(Fleet fleet, int coreCount) {
    this.fleet = fleet;
    this.coreCount = coreCount;
  }

  /**
   * Sends a configuration, and the same again to the next machine after a failure, a 5xx or two
   * seconds without an answer; returns the final status, or 0 if the time is over.
   */
  int replace(long base, byte[] body, long giveUpAtMillis) throws InterruptedException {
    long pauseMillis = 50;
    while (fleet.nowMillis() < giveUpAtMillis) {
      int core = next++ % coreCount;
      try {
        int status =
            Http.call(
                    fleet.coreAddress(core),
                    fleet.controlPort(),
                    "POST /api/rpc?call=config.replace HTTP/1.1",
                    Map.of(
                        "X-Base-Version",
                        String.format("%08x", base),
                        "Content-Type",
                        "application/json"),
                    body,
                    2_000)
                .status();
        if (status < 500 && status != 408 && status != 429) {
          return status;
        }
      } catch (IOException e) {
        // Goes on to the next machine.
      }
      Thread.sleep(pauseMillis);
      pauseMillis = Math.min(1_000, pauseMillis * 2);
    }
    return 0;
  }

  /** Reads the configuration at one machine; returns null if there is no 200. */
  String get(int core) {
    try {
      Http.Answer answer =
          Http.call(
              fleet.coreAddress(core),
              fleet.controlPort(),
              "POST /api/rpc?call=config.get HTTP/1.1",
              Map.of(),
              new byte[0],
              2_000);
      return answer.status() == 200 ? new String(answer.body(), StandardCharsets.UTF_8) : null;
    } catch (IOException e) {
      return null;
    }
  }

  /** Returns a configuration in the form of the pages. */
  static byte[] configuration(
      long version, List<String> routeRows, List<String> services, List<String> tenantRows) {
    StringBuilder text = new StringBuilder();
    text.append(String.format("{\"version\":\"%08x\",", version));
    text.append("\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout\",");
    text.append("\"latency_slo\",\"priority\",\"traffic_split\",\"max_attempts\",\"public\",");
    text.append("\"service\"],\"rows\":[").append(String.join(",", routeRows)).append("]},");
    text.append("\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",");
    text.append("\"protocol\",\"tls\"],\"rows\":[");
    for (int i = 0; i < services.size(); i++) {
      text.append(i == 0 ? "" : ",");
      text.append("[\"").append(services.get(i)).append("\",\"/health\",622,\"h1\",false]");
    }
    text.append("]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,");
    text.append("\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},");
    text.append("\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",");
    text.append("\"burst\"],\"rows\":[").append(String.join(",", tenantRows)).append("]}}");
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the version in a configuration that was read, or -1. */
  static long versionOf(String configuration) {
    if (configuration == null) {
      return -1;
    }
    int start = configuration.indexOf("\"version\":\"") + 11;
    return Long.parseLong(configuration.substring(start, start + 8), 16);
  }
}
