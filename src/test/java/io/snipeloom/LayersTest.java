package io.snipeloom;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class LayersTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("io.snipeloom");

  @Test
  void layersDependOnlyDownwards() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("state")
        .definedBy("io.snipeloom.state..")
        .layer("protocol")
        .definedBy("io.snipeloom.protocol..")
        .layer("platform")
        .definedBy("io.snipeloom.client..")
        .layer("transport")
        .definedBy("io.snipeloom.transport..")
        .layer("coordination")
        .definedBy("io.snipeloom.coordination..")
        .layer("daemon")
        .definedBy("io.snipeloom.daemon..")
        .layer("standin")
        .definedBy("io.snipeloom.standin..")
        .whereLayer("state")
        .mayNotAccessAnyLayer()
        .whereLayer("protocol")
        .mayOnlyAccessLayers("state")
        .whereLayer("platform")
        .mayOnlyAccessLayers("state")
        .whereLayer("transport")
        .mayOnlyAccessLayers("protocol", "state")
        .whereLayer("coordination")
        .mayOnlyAccessLayers("transport", "protocol", "platform", "state")
        .whereLayer("standin")
        .mayOnlyAccessLayers("transport", "platform", "state")
        .check(CLASSES);
  }
}
