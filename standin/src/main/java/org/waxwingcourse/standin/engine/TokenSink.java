package org.waxwingcourse.standin.engine;

/** Receives the tokens of one answer on the thread of the engine loop. */
interface TokenSink {
  void onToken(int index, String text);

  void onFinished(Sequence sequence);

  /** Called when the sequence was cancelled or the engine restarted; no further call follows. */
  void onDropped();
}
