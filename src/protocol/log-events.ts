/**
 * Catalogue of numbered log events. The numbers are stable, since operators match on them. docs/events.md is generated
 * from this table.
 */

export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

export interface LogEvent {
  number: number
  level: LogLevel
  /** What happened, in one sentence. */
  text: string
}

export const logEvents = {
  processReady: { number: 1001, level: 'info', text: 'the process is listening and ready' },
  processStopping: { number: 1002, level: 'info', text: 'the process is stopping' },
  processStopped: { number: 1003, level: 'info', text: 'the process has stopped' },
  settingsInvalid: { number: 1004, level: 'error', text: 'settings are invalid' },
  invariantBroken: { number: 1005, level: 'error', text: 'an internal invariant is violated; the process stops' },
  signalReceived: { number: 1006, level: 'info', text: 'the process received a signal' },
  requestRefused: { number: 2001, level: 'info', text: 'a request was refused' },
  requestCompleted: { number: 2002, level: 'debug', text: 'a request was answered' },
  attemptFailed: { number: 2003, level: 'info', text: 'an attempt at a backend server failed' },
  streamResumed: { number: 2004, level: 'info', text: 'a broken stream was resumed' },
  streamBroken: { number: 2005, level: 'warn', text: 'a stream broke and could not be resumed' },
  streamContinued: { number: 2006, level: 'info', text: 'a broken stream was continued on another backend server' },
  serverChosen: { number: 2101, level: 'debug', text: 'a backend server was chosen for an attempt' },
  attemptStarted: { number: 2102, level: 'debug', text: 'the agent started an attempt' },
  attemptRefused: { number: 2103, level: 'info', text: 'the agent refused an attempt' },
  agentConnected: { number: 3001, level: 'info', text: 'an agent opened its report stream' },
  agentDisconnected: { number: 3002, level: 'warn', text: 'an agent\'s report stream ended' },
  homeConnected: { number: 3003, level: 'info', text: 'the agent reports to an entry' },
  homeLost: { number: 3004, level: 'warn', text: 'the agent lost the report stream to an entry' },
  peerConnected: { number: 3005, level: 'info', text: 'the exchange with another entry is open' },
  peerLost: { number: 3006, level: 'warn', text: 'the exchange with another entry ended' },
  hostListUnavailable: { number: 3007, level: 'warn', text: 'the host list cannot be read; the last list is kept' },
  hostListAvailable: { number: 3008, level: 'info', text: 'the host list can be read again' },
  agentLost: { number: 3009, level: 'warn', text: 'no home entry receives reports of the agent any more; it gets no work' },
  hostListEntriesIgnored: { number: 3010, level: 'warn', text: 'entries of the host list describe no host and are ignored' },
  configurationApplied: { number: 4001, level: 'info', text: 'a configuration change is applied on this process' },
  configurationAccepted: { number: 4002, level: 'info', text: 'a configuration change was accepted' },
  configurationConflict: { number: 4003, level: 'info', text: 'a configuration change conflicts with a newer revision' },
  tableUnavailable: { number: 4004, level: 'warn', text: 'the table service does not answer' },
  tableAvailable: { number: 4005, level: 'info', text: 'the table service answers again' },
  snapshotUsed: { number: 4006, level: 'info', text: 'the configuration starts from the snapshot in the object store' },
  snapshotUnused: {
    number: 4007,
    level: 'warn',
    text: 'the object store has no usable snapshot; the configuration is read from the table service'
  },
  snapshotWritten: { number: 4008, level: 'debug', text: 'a snapshot of the configuration was written to the object store' },
  snapshotNotWritten: { number: 4009, level: 'warn', text: 'a snapshot of the configuration could not be written' },
  claimWriterAvoided: { number: 4010, level: 'warn', text: 'an entry does not answer claims; others write them for a while' },
  configurationRead: { number: 4011, level: 'info', text: 'the whole configuration was read from the table service' },
  configurationConfirmed: { number: 4101, level: 'info', text: 'the configuration copy is confirmed; new requests are accepted' },
  configurationUnconfirmed: {
    number: 4102,
    level: 'warn',
    text: 'the process was disconnected or paused; new requests are refused until the configuration copy is confirmed'
  },
  backendUnreachable: { number: 5001, level: 'warn', text: 'the backend server does not answer' },
  backendReachable: { number: 5002, level: 'info', text: 'the backend server answers' },
  backendCrashed: { number: 5003, level: 'warn', text: 'the backend server crashed with requests running' },
  requestQuarantined: { number: 5004, level: 'warn', text: 'a request that crashes backend servers is quarantined' },
  drainStarted: { number: 6001, level: 'info', text: 'graceful shutdown has begun; new work is refused' },
  drainFinished: { number: 6002, level: 'info', text: 'graceful shutdown has finished; nothing is in flight' },
  drainLifted: { number: 6101, level: 'info', text: 'the reason for graceful shutdown no longer applies; new work is accepted again' },
  drainOverdue: { number: 6102, level: 'warn', text: 'the time limit of graceful shutdown has passed with work in flight' },
  stopAnnounced: { number: 6103, level: 'info', text: 'a planned stop is in force but not yet recorded in the table service' },
  stopLifted: { number: 6104, level: 'info', text: 'a planned stop was lifted' },
  stopRecorded: { number: 6105, level: 'info', text: 'a planned stop is now recorded in the table service' },
  mapPrepared: { number: 7001, level: 'info', text: 'the weights of an expert map are loaded beside the map in use' },
  mapCommitted: { number: 7002, level: 'info', text: 'a switch to an expert map was decided' },
  mapAborted: { number: 7003, level: 'info', text: 'the group agreed to abort a switch to an expert map' },
  mapUndecided: { number: 7004, level: 'warn', text: 'a switch to an expert map is undecided and not all ranks answer; the group waits' },
  mapSwitchFailed: { number: 7005, level: 'warn', text: 'an expert map could not be prepared; the map in use stays' },
  mapPlanned: { number: 7006, level: 'info', text: 'the planner proposes an expert map' },
  requestEnded: { number: 2201, level: 'info', text: 'a request has ended' },
  backendChosen: { number: 2202, level: 'info', text: 'a backend server was chosen for a request' },
  attemptEnded: { number: 2203, level: 'info', text: 'an attempt at a backend server has ended' },
  repeatDenied: { number: 2204, level: 'info', text: 'the retry budget does not allow a retry' },
  backendEjected: { number: 2205, level: 'warn', text: 'a backend server was ejected after failures' },
  crashNoted: { number: 2206, level: 'warn', text: 'a backend server crashed while it ran a request' },
  backendLeaving: { number: 2207, level: 'info', text: 'a backend server has announced that it leaves' },
  backendPaused: { number: 2208, level: 'info', text: 'a backend server wants no requests from this process for a time' },
  crashSuspicionCleared: { number: 2209, level: 'info', text: 'a response began whose request shares features with one that a crash interrupted' },
  crashCauseBlamed: { number: 2210, level: 'warn', text: 'requests with a feature are refused because it crashes backend servers' },
  backendLimitStated: { number: 2211, level: 'info', text: 'a backend server has stated how many requests a second it takes' },
  backendLimitEnded: { number: 2212, level: 'info', text: 'a backend server no longer states how many requests a second it takes' },
  limitDivided: { number: 2213, level: 'info', text: 'permits for backend servers with a limit were granted to entries in the last second' },
  repeatGranted: { number: 2214, level: 'info', text: 'a retry was taken from the retry budget' },
  crashCausesRead: { number: 2216, level: 'info', text: 'the store has features that entries blamed for crashes before this process started' },
  requestFault: { number: 2215, level: 'error', text: 'an unexpected error ended the handling of a request' },
  peerHeard: { number: 3101, level: 'info', text: 'the first message of a peer was received' },
  peerSendFailed: { number: 3102, level: 'warn', text: 'a datagram to a peer could not be sent' },
  peerFetchFailed: { number: 3103, level: 'warn', text: 'documents could not be fetched from a peer' },
  peerMessageFault: { number: 3104, level: 'error', text: 'an unexpected error ended the handling of a datagram' },
  tableHistoryLost: { number: 4201, level: 'info', text: 'the store no longer has the changes; the table is read in full' },
  configurationUnreadable: { number: 4202, level: 'error', text: 'the configuration in the store is invalid; the current one stays in force' },
  backendsApplied: { number: 4203, level: 'info', text: 'a list of backend servers is applied on this process' },
  backendRowUnreadable: { number: 4204, level: 'warn', text: 'a row of the service discovery does not describe a backend server' },
  membershipWritten: { number: 4205, level: 'info', text: 'the store lists this process' },
  settingsReloaded: { number: 1101, level: 'info', text: 'the settings were reloaded' },
  linesDropped: { number: 1102, level: 'warn', text: 'log lines were dropped' },
  rankUnreachable: { number: 7101, level: 'warn', text: 'the rank beside this process does not answer' },
  rankReachable: { number: 7102, level: 'info', text: 'the rank beside this process answers again' },
  rankAnswerUnreadable: { number: 7108, level: 'warn', text: 'an answer of a rank does not have the expected format' },
  rankOrder: { number: 7103, level: 'info', text: 'an order was sent to a rank' },
  rankOrdersRelayed: { number: 7109, level: 'info', text: 'an order was sent to the ranks of a failure domain through one agent there' },
  mapLeadTaken: { number: 7104, level: 'info', text: 'this agent leads the expert maps of its group' },
  mapLeadLost: { number: 7105, level: 'info', text: 'this agent no longer leads the expert maps of its group' },
  mapSwitchPhase: { number: 7106, level: 'info', text: 'a switch to a new expert map has reached its next phase' },
  mapSwitchEnded: { number: 7107, level: 'info', text: 'a switch to a new expert map has ended' },
  weightsRefused: { number: 7007, level: 'info', text: 'the weight store refused a fetch; the rate is halved' }
} as const satisfies Record<string, LogEvent>

export type LogEventName = keyof typeof logEvents
