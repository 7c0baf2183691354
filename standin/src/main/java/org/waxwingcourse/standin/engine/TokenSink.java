package org.waxwingcourse.standin.engine;

/** Receives the tokens of one answer on the engine's loop. */
interface TokenSink {
  void onToken(int index, String text);

  void onFinished(Sequence sequence);

  /** The sequence was cancelled or lost; nothing more comes. */
  void onDropped();
}
