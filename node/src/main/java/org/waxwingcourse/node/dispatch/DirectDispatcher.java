package org.waxwingcourse.node.dispatch;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Dispatcher;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.upstream.engine.EngineCall;
import org.waxwingcourse.upstream.engine.EngineClient;

/** Sends each request straight to a random engine of its model. */
public final class DirectDispatcher implements Dispatcher {
  private static final int RETRY_SECONDS = 1;

  private final ConfigurationSource configuration;
  private final EngineClient engines;
  private final InstantSource clock;
  private final RandomGenerator random;

  private DirectDispatcher(
      ConfigurationSource configuration,
      EngineClient engines,
      InstantSource clock,
      RandomGenerator random) {
    this.configuration = configuration;
    this.engines = engines;
    this.clock = clock;
    this.random = random;
  }

  /** Returns a dispatcher over the engines of the configuration in force. */
  public static DirectDispatcher of(
      ConfigurationSource configuration,
      EngineClient engines,
      InstantSource clock,
      RandomGenerator random) {
    return new DirectDispatcher(configuration, engines, clock, random);
  }

  @Override
  public Call submit(InferenceRequest request, AnswerListener listener) {
    List<Engine> able = able(request.model());
    if (able.isEmpty()) {
      listener.onEnd(noEngine(request.model()));
      return () -> {};
    }
    Engine engine = able.get(random.nextInt(able.size()));
    EngineCall call = engines.open(engine, request, listener);
    call.begin();
    return call;
  }

  private List<Engine> able(ModelName model) {
    return configuration.current().stream()
        .flatMap(c -> c.engines().values().stream())
        .filter(e -> e.models().contains(model) && !e.leaving())
        .toList();
  }

  private Outcome noEngine(ModelName model) {
    return new Outcome.Refused(
        new Refusal(
            RefusalCode.UNAVAILABLE,
            "no engine serves model \"" + model + "\"",
            clock.instant().plusSeconds(RETRY_SECONDS)));
  }
}
