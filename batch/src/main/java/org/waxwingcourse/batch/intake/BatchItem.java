package org.waxwingcourse.batch.intake;

import org.waxwingcourse.model.id.ModelName;

/**
 * One line of an input file.
 *
 * @param customId the caller's name for it, unique in the file
 * @param endpoint the path that it is sent to
 * @param model the model that it asks for
 * @param body the JSON body of the request
 * @param promptPrefix the start of its prompt
 */
public record BatchItem(
    String customId, String endpoint, ModelName model, String body, String promptPrefix) {}
