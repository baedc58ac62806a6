package org.cornelspoke;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.Architectures;

/** Guards against a lower layer that starts to depend on a higher one, and against cycles. */
@AnalyzeClasses(packages = "org.cornelspoke", importOptions = ImportOption.DoNotIncludeTests.class)
class LayerTest {

  @ArchTest
  static final ArchRule LAYERS =
      Architectures.layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .withOptionalLayers(true)
          .layer("model")
          .definedBy("org.cornelspoke.model..", "org.cornelspoke.util..")
          .layer("state")
          .definedBy("org.cornelspoke.state..")
          .layer("coordination")
          .definedBy("org.cornelspoke.coordination..")
          .layer("protocol")
          .definedBy("org.cornelspoke.protocol..")
          .layer("transport")
          .definedBy("org.cornelspoke.transport..")
          .whereLayer("transport")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("protocol")
          .mayOnlyBeAccessedByLayers("transport")
          .whereLayer("coordination")
          .mayOnlyBeAccessedByLayers("protocol", "transport")
          .whereLayer("state")
          .mayOnlyBeAccessedByLayers("coordination", "protocol", "transport");

  @ArchTest
  static final ArchRule NO_CYCLES =
      slices().matching("org.cornelspoke.(**)").should().beFreeOfCycles();
}
