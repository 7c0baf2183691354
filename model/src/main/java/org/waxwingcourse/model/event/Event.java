package org.waxwingcourse.model.event;

import org.apache.logging.log4j.Level;

/**
 * The events that the system logs, each with its number, level and message. Numbers are never
 * reused. The catalogue in docs/EVENTS.md describes each event and the action of an operator.
 */
public enum Event {
  // 100: processes
  NODE_STARTED(100, Level.INFO, "host \"{}\" is listening for callers on {}"),
  NODE_STOPPING(101, Level.INFO, "host \"{}\" is stopping: {}"),
  NODE_STOPPED(102, Level.INFO, "host \"{}\" has stopped"),
  SETTINGS_REFUSED(103, Level.ERROR, "{}"),
  BROKEN_INVARIANT(104, Level.FATAL, "broken invariant: {}"),
  SETTINGS_READ(105, Level.INFO, "settings read: {}"),
  STEP_FAILED(106, Level.ERROR, "an internal task failed: {}"),
  SETTINGS_CHANGED(107, Level.INFO, "settings have changed: {}"),
  // 200: configuration and keys
  CONFIGURATION_APPLIED(200, Level.INFO, "configuration revision {} is in force"),
  CONFIGURATION_UNREADABLE(201, Level.ERROR, "configuration entry \"{}\" cannot be read: {}"),
  CONFIGURATION_LAGS(
      202, Level.WARN, "configuration revision {} is in force but revision {} is announced"),
  TRUST_LAPSED(203, Level.WARN, "no recent evidence of the configuration: keys are rejected"),
  TRUST_RENEWED(204, Level.INFO, "recent evidence of the configuration is available again"),
  AGREEMENT_FAILED(205, Level.ERROR, "a step of the agreement protocol failed: {}"),
  AGREEMENT_MESSAGE_UNREADABLE(
      206, Level.ERROR, "agreement message from host \"{}\" cannot be read: {}"),
  PLAN_IN_FORCE(207, Level.INFO, "configuration version {} of revision {} is in force"),
  // 300: rates
  ROSTER_APPLIED(300, Level.INFO, "rate roster revision {} lists {} hosts"),
  RATE_MESSAGE_UNREADABLE(301, Level.ERROR, "rate message from host \"{}\" cannot be read: {}"),
  // 400: membership and connections between hosts
  PEER_REFUSED(400, Level.WARN, "closed connection with {}: the peer {}"),
  PEER_SILENT(401, Level.WARN, "connection to host \"{}\" stopped answering; reconnecting"),
  PEER_CONNECTION_BROKEN(402, Level.WARN, "closed connection with host \"{}\": {}"),
  PEER_MESSAGE_REFUSED(
      403,
      Level.ERROR,
      "{} message to host \"{}\" of {} bytes is dropped: too large or transport stopped"),
  PEER_MESSAGE_FAILED(
      404, Level.ERROR, "cannot process message on channel {} from host \"{}\": {}"),
  MEMBER_JOINED(410, Level.INFO, "host \"{}\" is alive, incarnation {}"),
  MEMBER_SUSPECTED(411, Level.WARN, "host \"{}\" is suspected, incarnation {}"),
  MEMBER_LEAVING(412, Level.INFO, "host \"{}\" is leaving, incarnation {}"),
  MEMBER_DEAD(413, Level.WARN, "host \"{}\" is dead, incarnation {}"),
  MEMBER_REFUTED(414, Level.WARN, "this host was reported as {} and refutes with incarnation {}"),
  MEMBER_PAUSED(415, Level.WARN, "this host was paused for {} ms"),
  STOP_PHASE(420, Level.INFO, "planned stop entered phase {}"),
  STOP_CUT(421, Level.ERROR, "planned stop reached its deadline with {} requests in flight"),
  STOP_STEP_FAILED(422, Level.ERROR, "a step of the planned stop failed: {}"),
  COORDINATOR_CHOSEN(430, Level.INFO, "host \"{}\" coordinates, before \"{}\"; hosts as of {}"),
  HOST_DETACHED(431, Level.WARN, "host \"{}\" has not pinged this coordinator for {} ms"),
  HOST_REGISTERED(
      432,
      Level.INFO,
      "host \"{}\" boot {} is registered under lease {}; entry created at {}, written at {}"),
  HOST_LEASE_LOST(433, Level.WARN, "the lease of this host's registration is lost: {}"),
  REGISTRATION_WAITS(434, Level.WARN, "registration is delayed, the store cannot be read: {}"),
  FLEET_MESSAGE_UNREADABLE(435, Level.ERROR, "fleet message from host \"{}\" cannot be read: {}"),
  COORDINATOR_SUSPECTED(
      436, Level.INFO, "coordinator \"{}\" is probed: host \"{}\" gets no answers from it"),
  // 500: dispatch, engines and plain services
  ENGINE_EJECTED(500, Level.WARN, "engine \"{}\" fails and gets no work until {}"),
  DISPATCH_UNREADABLE(501, Level.ERROR, "dispatch message from host \"{}\" cannot be read: {}"),
  ENGINE_ORDERED(502, Level.INFO, "engine \"{}\" was ordered to load model \"{}\""),
  ENGINE_LISTED(
      503, Level.INFO, "engine \"{}\" at {} is listed, leaving: {}, version {}, revision {}"),
  ENGINE_UNLISTED(504, Level.INFO, "engine \"{}\" is no longer listed, revision {}"),
  SLOT_REFUSED(
      505,
      Level.INFO,
      "request {} of host \"{}\" gets no slot: {}; back in {} ms, part {}, load {}"),
  SLOT_YIELDED(
      506,
      Level.INFO,
      "batch run {} of host \"{}\" yields engine \"{}\" to request {}; part {}, load {}"),
  RUN_BROKEN_OFF(
      507,
      Level.INFO,
      "engine \"{}\" broke off request {} of host \"{}\"; first event {}, prompt parts {},"
          + " fingerprint {}"),
  EVENT_OUT_OF_PLACE(
      508,
      Level.WARN,
      "engine \"{}\" sent event {} for request {}, which is not passed on: {};"
          + " connection {}, run {}"),
  SLOT_GRANTED_TWICE(
      509, Level.INFO, "request {} was granted a second slot, on engine \"{}\", which is not used"),
  PROMPT_QUARANTINED(
      510,
      Level.WARN,
      "engines crash on prompts with parts {}: such requests are refused; one may run in {} s"),
  PROMPT_PROBED(
      511, Level.INFO, "request {} of host \"{}\" may run although its prompt is quarantined"),
  PROMPT_RELEASED(
      512, Level.INFO, "request {} received an event: prompts with parts {} may run again"),
  QUARANTINE_LEARNED(513, Level.INFO, "prompts with parts {} quarantined, lifted: {}, from {}"),
  QUARANTINE_WRITE_WAITS(514, Level.WARN, "the quarantine was not written to the store: {}"),
  QUARANTINE_UNREADABLE(515, Level.ERROR, "the stored quarantine cannot be read: {}"),
  CRASHING_REQUEST_REFUSED(
      516, Level.WARN, "requests with fingerprint {} are refused: {} engines ended under them"),
  CRASHING_REQUEST_PROBED(
      517,
      Level.INFO,
      "request {} of host \"{}\" may run although requests with its fingerprint {} are refused"),
  CRASHING_REQUEST_RELEASED(
      518,
      Level.INFO,
      "requests with fingerprint {} may run: request {} was answered whole, {} engines had ended"),
  CRASHING_REQUEST_LEARNED(
      519, Level.INFO, "requests with fingerprint {} are refused: {} engines ended, from {}"),
  ENGINE_SAYS_LEAVING(
      520,
      Level.INFO,
      "engine \"{}\" started at {} says in its answer to request {} that it is leaving"),
  ENGINE_REPORTED_LEAVING(
      521, Level.INFO, "engine \"{}\" started at {} is leaving, as host \"{}\" reports"),
  ENGINE_NAMES_LIMIT(
      522,
      Level.INFO,
      "engine \"{}\" started at {} names limit {} in its answer to request {}, before: {}"),
  ENGINE_ENDS_LIMIT(
      523,
      Level.INFO,
      "engine \"{}\" started at {} names limit {} in its answer to request {}, before: {}"),
  ENGINE_LIMIT_REPORTED(
      524, Level.INFO, "engine \"{}\" started at {} has limit {}, as host \"{}\" reports"),
  ENGINE_LIMIT_UNREADABLE(
      525,
      Level.WARN,
      "engine \"{}\" started at {} names a limit that cannot be read in its answer to request {}:"
          + " \"{}\""),
  EVACUATION_ORDERED(
      526,
      Level.INFO,
      "evacuation of data centre \"{}\" is ordered: its {} engines get nothing from now on;"
          + " orders of revision {}"),
  EVACUATION_REVOKED(
      527,
      Level.INFO,
      "evacuation of data centre \"{}\" is no longer ordered: its {} engines may be used again;"
          + " orders of revision {}"),
  EVACUATION_UNREADABLE(
      528, Level.WARN, "order \"{}\" to evacuate a data centre cannot be read: {}"),
  CONNECTION_REFUSED(
      540, Level.INFO, "engine \"{}\" refused the connection of request {} of host \"{}\""),
  ENGINES_OUT_OF_REACH(
      541,
      Level.WARN,
      "this host can open no connection to engines; other hosts send its requests"),
  ENGINES_REACHED(542, Level.INFO, "this host can open connections to engines again"),
  HOST_OUT_OF_REACH(
      543, Level.WARN, "host \"{}\" reaches no engine; its reports about engines do not count"),
  HOST_REACHES_ENGINES(544, Level.INFO, "host \"{}\" reaches engines again"),
  REQUEST_RELAYED(545, Level.INFO, "request {} is relayed by host \"{}\" to engine \"{}\""),
  RELAY_LOST(546, Level.WARN, "an answer that host \"{}\" relays is lost: {}"),
  // 600: batch jobs
  BATCH_JOB_ENDED(600, Level.INFO, "job \"{}\" ended as {}"),
  BATCH_CLAIM_LOST(601, Level.WARN, "claim on chunk {} of job \"{}\" is lost, fencing number {}"),
  BATCH_STORE_WAIT(602, Level.WARN, "batch work retries the store in {} and holds {} chunks"),
  BATCH_ENTRY_REMOVED(603, Level.INFO, "{} \"{}\" was removed after its retention deadline"),
  BATCH_CACHE_OFF(604, Level.WARN, "batch cache in {} is disabled: {}"),
  JOB_ACCEPTED(610, Level.INFO, "job \"{}\" of \"{}\" is accepted: {} items, {} tokens"),
  JOB_REFUSED(611, Level.INFO, "job \"{}\" is refused: {}; {} tokens"),
  JOB_UNKNOWN(612, Level.WARN, "unknown whether job \"{}\" was accepted: {}"),
  JOB_TAKEN(613, Level.INFO, "job \"{}\" is taken over with {} of {} results"),
  JOB_ASSIGNED(614, Level.INFO, "job \"{}\" has no runner and is assigned to host \"{}\""),
  JOB_LEFT(615, Level.INFO, "job \"{}\" no longer runs on this host: {}; {} of {} results"),
  JOB_CLOSED(616, Level.INFO, "job \"{}\" was ended by \"{}\", runner \"{}\""),
  JOB_COMMIT_WAITS(617, Level.WARN, "results of job \"{}\" are not stored yet: {}; {} waiting"),
  JOB_UNREADABLE(618, Level.ERROR, "items or results of job \"{}\" cannot be read"),
  JOB_REMOVED(619, Level.INFO, "removal of job \"{}\" after its retention period: {}"),
  ITEM_FAILED(620, Level.INFO, "item {} of job \"{}\" failed: {}; {} of {} attempts"),
  ITEM_REFUSED(621, Level.INFO, "item {} of job \"{}\" was permanently rejected by engine \"{}\""),
  ITEM_MOVED(
      622, Level.INFO, "item {} of job \"{}\" is moved from engine \"{}\": {}; last event {}"),
  JOB_CLAIM_UNKNOWN(
      623, Level.WARN, "unknown whether this host took over job \"{}\": {}; the record is checked"),
  ITEM_LATE(
      624,
      Level.INFO,
      "item {} of job \"{}\" ended {} ms after it was due; waited {} ms for slots,"
          + " yielded {}, moved {}, failed {} times"),
  JOB_FORWARDED(625, Level.INFO, "job \"{}\" is forwarded to host \"{}\": {}"),
  ITEM_RUN_ENDED(
      626,
      Level.INFO,
      "item {} of job \"{}\": run on engine \"{}\" ends, {}; connection {}, {} ms, {} events,"
          + " version {}, run {}"),
  ITEM_BEGINS_ANEW(627, Level.INFO, "item {} of job {} drops {} events and begins anew: {}"),
  ANSWER_NOT_OURS(
      628,
      Level.WARN,
      "host \"{}\" answers a question about job \"{}\" that process {} asked; this is process {}"),
  JOB_TAKE_OVER_WAITS(
      629, Level.WARN, "this host may have to run job \"{}\": {}; its record is read again"),
  JOB_COMMIT_FOUND(
      631,
      Level.INFO,
      "an unanswered commit of job \"{}\" was executed after all, found after {}; {} results"),
  HOST_EMPTIED(630, Level.INFO, "host \"{}\" may be removed with its disk: {}"),
  JOB_CLOSE_CONFIRMED(
      632, Level.INFO, "host \"{}\" confirmed the end of job \"{}\" {} ms after it was told"),
  JOB_CLOSE_UNCONFIRMED(
      633, Level.WARN, "host \"{}\" did not confirm the end of job \"{}\" after {} messages"),
  JOB_FOUND_CLOSED(
      634, Level.INFO, "job \"{}\" of \"{}\" was closed before; runner \"{}\" is told again"),
  JOB_CLOSE_RECEIVED(
      635, Level.INFO, "host \"{}\" tells of the end of job \"{}\"; it runs here: {}"),
  JOB_ITEMS_STOPPED(636, Level.INFO, "job \"{}\" was stopped with {} of {} items on engines"),
  JOB_OPEN_UNKNOWN(
      637, Level.WARN, "the store does not tell whether job \"{}\" is open: {}; its items run on"),
  JOB_END_GIVEN_UP(
      638,
      Level.WARN,
      "job \"{}\" could not be ended for \"{}\"; it runs on until it is asked again"),
  JOB_RESULT_TOO_LARGE(
      639,
      Level.ERROR,
      "the result of item {} of job \"{}\" is listed as failed: {} bytes, the store takes {}"),
  ITEM_WAITS(
      640,
      Level.INFO,
      "item {} of job \"{}\" has had no run for {} ms: {}, next step {}; last refusal {}"),
  // 700: platform store
  STORE_UNREACHABLE(700, Level.WARN, "platform store at {} does not answer: {}"),
  STORE_REACHED(701, Level.INFO, "platform store at {} answers"),
  STORE_FOLLOWED(702, Level.INFO, "this host watches the store"),
  STORE_UNFOLLOWED(703, Level.INFO, "this host no longer watches the store"),
  STORE_LOST(704, Level.WARN, "the store does not answer: {}"),
  STORE_REGAINED(705, Level.INFO, "the store answers again"),
  STORE_RANGE_READ(
      706, Level.INFO, "range \"{}\" is read at revision {} and watched from there: {} entries"),
  STORE_WATCH_LOST(
      707, Level.INFO, "the watch of range \"{}\" has failed: {}; it is read again in {} ms"),
  STORE_ENTRIES_KEPT(
      708,
      Level.INFO,
      "entries of range \"{}\" are gone from the store at revision {} and kept for now: {}"),
  STORE_RECOVERING(
      709,
      Level.INFO,
      "the store answers after {} ms without a sign; entries gone since are kept for {} ms"),
  STORE_ANSWER_UNHANDLED(710, Level.ERROR, "the answer of the store to {} cannot be handled: {}"),
  ENGINE_ENTRY_IGNORED(
      711, Level.WARN, "entry \"{}\" of revision {} names no engine to use and is ignored"),
  // 800: caller interface
  REQUEST_FAILED(800, Level.ERROR, "internal error in request {}: {}"),
  REQUEST_DENIED(801, Level.INFO, "request {} is refused, {}: {}; configuration {}, evidence {}"),
  REQUEST_ENDED(
      802,
      Level.INFO,
      "request {} of {} on {} ({}): engines {}, connections {}, runs {}, waited {} ms, first {} ms,"
          + " total {} ms, {} events, version {}, coordinator {}: {}"),
  REQUEST_MOVED(
      803, Level.INFO, "request {} goes on elsewhere or ends: {}; last event {}, run {} of {}"),
  STREAM_CONTINUED(
      804,
      Level.INFO,
      "request {} goes on after event {} at engine \"{}\" of version {}; begun by version {}"),
  // 900: stand-ins
  STANDIN_STARTED(900, Level.INFO, "{} stand-in is listening on {}"),
  STANDIN_FAILED(901, Level.ERROR, "{} stand-in failed on \"{}\": {}");

  private final int number;
  private final Level level;
  private final String template;

  Event(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  /** Returns the number that identifies this event in logs and in the catalogue. */
  public int number() {
    return number;
  }

  /** Returns the level at which this event is logged. */
  public Level level() {
    return level;
  }

  /** Returns the message template, with a placeholder for each argument. */
  public String template() {
    return template;
  }
}
