package org.cornelspoke.state.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class DescribingDiskTest {

  /** Guards against log lines of a failed disk that tell neither operation nor file nor cause. */
  @Test
  void exceptionTellsOperationFileSpaceAndCause() throws IOException {
    FakeDisk fake = new FakeDisk(1);
    DescribingDisk disk = new DescribingDisk(fake);
    Disk.File file = disk.create("log-1");
    file.append(new byte[] {1});
    fake.failSyncAfter(0);
    IOException failed = assertThrows(DiskOperationException.class, file::sync);
    assertThat(failed)
        .hasMessageThat()
        .isEqualTo(
            "syncing log-1 failed with an unknown number of bytes usable: "
                + "java.io.IOException: simulated sync failure");
  }

  /** Guards against log lines that name a temporary file which no longer exists. */
  @Test
  void exceptionTellsTheCurrentNameOfARenamedFile() throws IOException {
    FakeDisk fake = new FakeDisk(1);
    DescribingDisk disk = new DescribingDisk(fake);
    Disk.File file = disk.create("log-1.tmp");
    disk.rename("log-1.tmp", "log-1");
    fake.failOperationAfter(0);
    IOException failed = assertThrows(DiskOperationException.class, () -> file.append(new byte[3]));
    assertThat(failed).hasMessageThat().startsWith("appending 3 bytes to log-1 failed");
  }
}
