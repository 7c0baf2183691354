package org.waxwingcourse.standin.engine;

/**
 * An order to an engine and the body of {@code POST /engine/orders}.
 *
 * @param fencing the fencing number of the sender
 * @param kind "load_model", "unload_model", "load_adapter", "unload_adapter" or "set_role"
 * @param target the model, adapter or role
 */
public record EngineOrder(long fencing, String kind, String target) {
  static final String LOAD_MODEL = "load_model";
  static final String UNLOAD_MODEL = "unload_model";
}
