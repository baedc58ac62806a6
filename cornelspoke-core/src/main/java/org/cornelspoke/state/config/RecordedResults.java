package org.cornelspoke.state.config;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.RequestId;

/**
 * Recorded results by request id, in order of application. A result is evicted once it is older
 * than {@link #MIN_RETENTION_MILLIS} and more than {@link #MIN_RETAINED} results are recorded.
 */
final class RecordedResults {

  static final int MIN_RETAINED = 10_000;
  static final long MIN_RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

  private final Map<RequestId, RecordedResult> resultsByRequestId = new LinkedHashMap<>();

  Optional<RecordedResult> find(RequestId id) {
    return Optional.ofNullable(resultsByRequestId.get(id));
  }

  void add(RecordedResult result) {
    resultsByRequestId.put(result.requestId(), result);
    Iterator<RecordedResult> iterator = resultsByRequestId.values().iterator();
    while (resultsByRequestId.size() > MIN_RETAINED
        && iterator.next().timestampMillis() < result.timestampMillis() - MIN_RETENTION_MILLIS) {
      iterator.remove();
    }
  }

  List<RecordedResult> all() {
    return List.copyOf(resultsByRequestId.values());
  }

  void restore(List<RecordedResult> restoredResults) {
    resultsByRequestId.clear();
    restoredResults.forEach(result -> resultsByRequestId.put(result.requestId(), result));
  }
}
