package org.cornelspoke.state.config;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.RequestId;

/** First answers by request id, in order of application. */
final class FirstAnswers {

  static final int MIN_KEPT = 10_000;
  static final long MIN_KEPT_MILLIS = 24L * 60 * 60 * 1_000;

  private final Map<RequestId, FirstAnswer> answers = new LinkedHashMap<>();

  Optional<FirstAnswer> find(RequestId id) {
    return Optional.ofNullable(answers.get(id));
  }

  void add(FirstAnswer answer) {
    answers.put(answer.requestId(), answer);
    Iterator<FirstAnswer> oldest = answers.values().iterator();
    while (answers.size() > MIN_KEPT
        && oldest.next().timestampMillis() < answer.timestampMillis() - MIN_KEPT_MILLIS) {
      oldest.remove();
    }
  }

  List<FirstAnswer> all() {
    return List.copyOf(answers.values());
  }

  void restore(List<FirstAnswer> all) {
    answers.clear();
    all.forEach(answer -> answers.put(answer.requestId(), answer));
  }
}
