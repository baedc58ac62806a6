package org.cornelspoke.bench.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Base64;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Guards against a log that names the wrong account, or a stand-in that fails on odd contexts. */
class ContextIdsTest {

  @Test
  void readsCallAndAccount() throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(3).packInt(1).packString("call-1").packString("cabiao");
      String content = Base64.getUrlEncoder().withoutPadding().encodeToString(packer.toByteArray());

      assertThat(ContextIds.read(content + ".sig").orElseThrow())
          .isEqualTo(new ContextIds("call-1", "cabiao"));
    }
  }

  @Test
  void ignoresWhatItCannotRead() {
    assertThat(ContextIds.read("").isPresent()).isFalse();
    assertThat(ContextIds.read("abc").isPresent()).isFalse();
    assertThat(ContextIds.read("!!.x").isPresent()).isFalse();
    assertThat(ContextIds.read("gQE.x").isPresent()).isFalse();
  }
}
