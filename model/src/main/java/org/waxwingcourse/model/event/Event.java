package org.waxwingcourse.model.event;

import org.apache.logging.log4j.Level;

/**
 * Every event that the system logs, with its number, level and message. Numbers are never reused;
 * docs/EVENTS.md says what each means and what an operator does about it.
 */
public enum Event {
  // 100: processes
  NODE_STARTED(100, Level.INFO, "host \"{}\" serves callers on {}"),
  NODE_STOPPING(101, Level.INFO, "host \"{}\" stops: {}"),
  NODE_STOPPED(102, Level.INFO, "host \"{}\" has stopped"),
  SETTINGS_REFUSED(103, Level.ERROR, "{}"),
  BROKEN_INVARIANT(104, Level.FATAL, "broken invariant: {}"),
  SETTINGS_READ(105, Level.INFO, "settings read: {}"),
  STEP_FAILED(106, Level.ERROR, "a repeated step failed: {}"),
  SETTINGS_CHANGED(107, Level.INFO, "settings have changed: {}"),
  // 200: configuration and keys
  CONFIGURATION_APPLIED(200, Level.INFO, "configuration revision {} is in force"),
  CONFIGURATION_UNREADABLE(201, Level.ERROR, "configuration entry \"{}\" cannot be read: {}"),
  CONFIGURATION_LAGS(202, Level.WARN, "configuration {} is in force, {} has been heard of"),
  TRUST_LAPSED(203, Level.WARN, "no recent evidence of the configuration: keys are refused"),
  TRUST_RENEWED(204, Level.INFO, "evidence of the configuration is recent again"),
  AGREEMENT_FAILED(205, Level.ERROR, "a step of the agreement between hosts failed: {}"),
  AGREEMENT_MESSAGE_UNREADABLE(206, Level.ERROR, "message from host \"{}\" cannot be read: {}"),
  PLAN_IN_FORCE(207, Level.INFO, "configuration version {} of revision {} is in force"),
  // 300: rates
  ROSTER_APPLIED(300, Level.INFO, "roster revision {} lists {} hosts"),
  RATE_MESSAGE_UNREADABLE(301, Level.ERROR, "rate message from host \"{}\" cannot be read: {}"),
  // 400: membership and connections between hosts
  PEER_REFUSED(400, Level.WARN, "connection from {} is cut: it {}"),
  PEER_SILENT(401, Level.WARN, "connection to host \"{}\" went silent and is replaced"),
  PEER_CONNECTION_BROKEN(402, Level.WARN, "connection with host \"{}\" is cut: {}"),
  PEER_MESSAGE_REFUSED(403, Level.ERROR, "{} message to host \"{}\" of {} bytes is not sent"),
  PEER_MESSAGE_FAILED(404, Level.ERROR, "message on channel {} from host \"{}\" failed: {}"),
  MEMBER_JOINED(410, Level.INFO, "host \"{}\" is alive, incarnation {}"),
  MEMBER_SUSPECTED(411, Level.WARN, "host \"{}\" is suspected, incarnation {}"),
  MEMBER_LEAVING(412, Level.INFO, "host \"{}\" leaves, incarnation {}"),
  MEMBER_DEAD(413, Level.WARN, "host \"{}\" is dead, incarnation {}"),
  MEMBER_REFUTED(414, Level.WARN, "this host was thought {} and refutes with incarnation {}"),
  MEMBER_PAUSED(415, Level.WARN, "this host stood still for {} ms"),
  STOP_PHASE(420, Level.INFO, "planned stop is in phase {}"),
  STOP_CUT(421, Level.ERROR, "planned stop ends by its deadline with {} requests in flight"),
  STOP_STEP_FAILED(422, Level.ERROR, "a step of the planned stop failed: {}"),
  COORDINATOR_CHOSEN(430, Level.INFO, "host \"{}\" coordinates, before \"{}\"; hosts as of {}"),
  HOST_DETACHED(431, Level.WARN, "host \"{}\" has not pinged this coordinator for {} ms"),
  HOST_REGISTERED(432, Level.INFO, "host \"{}\" boot {} is registered under lease {}"),
  HOST_LEASE_LOST(433, Level.WARN, "the lease of this host's entry is gone: {}"),
  REGISTRATION_WAITS(434, Level.WARN, "the store cannot be read, registration waits: {}"),
  FLEET_MESSAGE_UNREADABLE(435, Level.ERROR, "message of host \"{}\" cannot be read: {}"),
  // 500: dispatch, engines and plain services
  ENGINE_EJECTED(500, Level.WARN, "engine \"{}\" fails and gets no work until {}"),
  DISPATCH_UNREADABLE(501, Level.ERROR, "message of host \"{}\" cannot be read: {}"),
  ENGINE_ORDERED(502, Level.INFO, "engine \"{}\" was ordered to load model \"{}\""),
  ENGINE_LISTED(503, Level.INFO, "engine \"{}\" at {} is listed, leaving: {}, as of {}"),
  ENGINE_UNLISTED(504, Level.INFO, "engine \"{}\" is no longer listed as of {}"),
  SLOT_REFUSED(
      505,
      Level.INFO,
      "request {} of host \"{}\" gets no slot: {}; back in {} ms, part {}, load {}"),
  SLOT_YIELDED(
      506,
      Level.INFO,
      "batch run {} of host \"{}\" leaves engine \"{}\" to request {}; part {}, load {}"),
  // 600: batch jobs
  BATCH_JOB_ENDED(600, Level.INFO, "job \"{}\" is {}"),
  BATCH_CLAIM_LOST(601, Level.WARN, "chunk {} of job \"{}\" is no longer held under number {}"),
  BATCH_STORE_WAIT(602, Level.WARN, "batch work waits {} for the store and holds {} chunks"),
  BATCH_ENTRY_REMOVED(603, Level.INFO, "{} \"{}\" was removed after its retention deadline"),
  BATCH_CACHE_OFF(604, Level.WARN, "batch cache in {} is off: {}"),
  JOB_ACCEPTED(610, Level.INFO, "job \"{}\" of \"{}\" is accepted: {} items, {} tokens"),
  JOB_REFUSED(611, Level.INFO, "job \"{}\" is refused: {}; {} tokens"),
  JOB_UNKNOWN(612, Level.WARN, "whether job \"{}\" was accepted is not known: {}"),
  JOB_TAKEN(613, Level.INFO, "job \"{}\" is taken over with {} of {} results"),
  JOB_ASSIGNED(614, Level.INFO, "job \"{}\" has no runner and is given to host \"{}\""),
  JOB_LEFT(615, Level.INFO, "job \"{}\" is no longer run here: {}; {} of {} results"),
  JOB_CLOSED(616, Level.INFO, "job \"{}\" was ended by \"{}\", runner \"{}\""),
  JOB_COMMIT_WAITS(617, Level.WARN, "results of job \"{}\" wait for the store: {}; {} waiting"),
  JOB_UNREADABLE(618, Level.ERROR, "items or results of job \"{}\" cannot be read"),
  JOB_REMOVED(619, Level.INFO, "job \"{}\" is past its retention and removed: {}"),
  ITEM_FAILED(620, Level.INFO, "item {} of job \"{}\" failed: {}; {} of {} attempts"),
  ITEM_REFUSED(621, Level.INFO, "item {} of job \"{}\" can never be done, says engine \"{}\""),
  ITEM_MOVED(622, Level.INFO, "item {} of job \"{}\" leaves engine \"{}\": {}; after event {}"),
  HOST_EMPTIED(630, Level.INFO, "host \"{}\" may be removed with its disk: {}"),
  // 700: platform store
  STORE_UNREACHABLE(700, Level.WARN, "platform store at {} does not answer: {}"),
  STORE_REACHED(701, Level.INFO, "platform store at {} answers"),
  STORE_FOLLOWED(702, Level.INFO, "this host follows the store"),
  STORE_UNFOLLOWED(703, Level.INFO, "this host no longer follows the store"),
  STORE_LOST(704, Level.WARN, "the store does not answer: {}"),
  STORE_REGAINED(705, Level.INFO, "the store answers again"),
  // 800: caller interface
  REQUEST_FAILED(800, Level.ERROR, "request {} failed inside the host: {}"),
  REQUEST_DENIED(801, Level.INFO, "request {} is refused, {}: {}; configuration {}, evidence {}"),
  REQUEST_ENDED(
      802,
      Level.INFO,
      "request {} of {} on {}: engines {}, waited {} ms, first {} ms, total {} ms, {} events,"
          + " version {}, coordinator {}: {}"),
  REQUEST_MOVED(
      803, Level.INFO, "request {} goes on elsewhere or ends: {}; last event {}, run {} of {}"),
  // 900: stand-ins
  STANDIN_STARTED(900, Level.INFO, "{} stand-in listens on {}"),
  STANDIN_FAILED(901, Level.ERROR, "{} stand-in failed on \"{}\": {}");

  private final int number;
  private final Level level;
  private final String template;

  Event(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  /** Returns the number that identifies the event in logs and in the catalogue. */
  public int number() {
    return number;
  }

  /** Returns the level it is logged at. */
  public Level level() {
    return level;
  }

  /** Returns the message with a placeholder for each argument. */
  public String template() {
    return template;
  }
}
