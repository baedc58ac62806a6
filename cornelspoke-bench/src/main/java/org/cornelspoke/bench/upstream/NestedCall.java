package org.cornelspoke.bench.upstream;

import org.cornelspoke.util.Assert;

/**
 * A call that an upstream makes through its daemon before it answers.
 *
 * @param whenPathPrefix requests with this start of their path cause the call
 */
public record NestedCall(String whenPathPrefix, String method, String path) {

  /** Checks that every part is present. */
  public NestedCall {
    Assert.hasText(whenPathPrefix, "whenPathPrefix");
    Assert.hasText(method, "method");
    Assert.isTrue(path != null && path.startsWith("/"), "path must start with /");
  }
}
