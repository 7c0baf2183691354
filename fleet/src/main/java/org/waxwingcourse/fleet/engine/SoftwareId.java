package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;

/**
 * Equal for engines that run the same software. The software of an engine that states no version is
 * like none but that of the same process.
 *
 * @param hash the same on all hosts
 */
public record SoftwareId(long hash) {
  private static final long VERSION_SEED = 0x5eedL;

  static SoftwareId of(Option<String> version, EngineBoot boot) {
    return new SoftwareId(version.map(v -> StableHash.of(VERSION_SEED, v)).getOrElse(boot::hash));
  }
}
