package org.waxwingcourse.batch.intake;

import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.ServiceName;

/**
 * One line of an input file.
 *
 * @param customId the caller's name for it, unique in the file
 * @param endpoint what the items of one job have in common: {@code /v1/chat/completions}, or {@code
 *     /services/<name>}
 * @param target whom it is sent to
 * @param body the JSON body of the request
 */
public record BatchItem(String customId, String endpoint, Target target, String body) {
  /** Whom an item is sent to. */
  public sealed interface Target {}

  /**
   * A model engine.
   *
   * @param name the model that the item asks for
   * @param promptPrefix the start of its prompt
   */
  public record Model(ModelName name, String promptPrefix) implements Target {}

  /**
   * A plain service.
   *
   * @param name the service
   * @param path the path below the service's name, beginning with a slash
   */
  public record Service(ServiceName name, String path) implements Target {}
}
