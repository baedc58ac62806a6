package org.cornelspoke.bench.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/** What a stand-in upstream has done since its start. Belongs to one thread. */
final class UpstreamCounters {

  long received;
  long started;
  long completed;
  long cancelled;
  long cut;
  long shed;
  long withAuthorization;

  Map<String, Long> asMap() {
    Map<String, Long> map = new LinkedHashMap<>();
    map.put("received", received);
    map.put("started", started);
    map.put("completed", completed);
    map.put("cancelled", cancelled);
    map.put("cut", cut);
    map.put("shed", shed);
    map.put("withAuthorization", withAuthorization);
    return map;
  }
}
