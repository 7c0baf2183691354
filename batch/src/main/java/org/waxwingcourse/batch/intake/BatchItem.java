package org.waxwingcourse.batch.intake;

import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.ServiceName;

/**
 * One line of an input file.
 *
 * @param customId the caller's id of the item, unique in the file
 * @param endpoint the endpoint, equal for all items of a job: {@code /v1/chat/completions} or
 *     {@code /services/<name>}
 * @param target the model or service that the item is sent to
 * @param body the JSON body of the request
 */
public record BatchItem(String customId, String endpoint, Target target, String body) {
  /** The model or service that an item is sent to. */
  public sealed interface Target {}

  /**
   * A model engine.
   *
   * @param name the model that the item requests
   * @param promptPrefix the beginning of the prompt
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
