/**
 * Inputs and outputs of the core: the shell, which does all I/O, passes events in and runs the returned effects.
 *
 * @module
 */
import type {
  AttemptId,
  EndpointId,
  Incarnation,
  RequestId,
  Revision,
  ServiceRevision,
} from "../ids/index.ts";
import type { QuarantineUpdate } from "../quarantine/index.ts";
import type {
  ConfigurationCopy,
  Heartbeat,
  HeartbeatReply,
  KeyHandOver,
  OutcomeCopy,
} from "./peer.ts";
import type { ListedVm, LoadReport } from "./platform.ts";
import type {
  Attempt,
  AttemptEnd,
  BodyFacts,
  FinalAnswer,
  RequestHead,
} from "./request.ts";

/** An event for the core. Its time is passed separately. */
export type CoreEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "stop" }
  | {
    readonly kind: "configurationRead";
    readonly revision: ServiceRevision;
    readonly text: string;
  }
  | { readonly kind: "configurationUnchanged" }
  | { readonly kind: "configurationFailed" }
  | {
    readonly kind: "configurationCopied";
    readonly from: Incarnation;
    /** `undefined` where the peer has nothing newer, or did not answer. */
    readonly copy: ConfigurationCopy | undefined;
    readonly answered: boolean;
  }
  | { readonly kind: "vmsListed"; readonly vms: readonly ListedVm[] }
  | { readonly kind: "vmsUnchanged" }
  | { readonly kind: "vmListFailed" }
  | { readonly kind: "heartbeat"; readonly heartbeat: Heartbeat }
  | { readonly kind: "heartbeatReply"; readonly reply: HeartbeatReply }
  /** A peer's control address refuses connections, so its process has ended. */
  | { readonly kind: "peerRefused"; readonly url: string }
  | { readonly kind: "outcomeCopy"; readonly copy: OutcomeCopy }
  | { readonly kind: "handOver"; readonly handOver: KeyHandOver }
  | { readonly kind: "handOverDone" }
  | { readonly kind: "quarantineNews"; readonly news: QuarantineUpdate }
  | {
    readonly kind: "load";
    readonly endpoint: EndpointId;
    readonly report: LoadReport;
  }
  | { readonly kind: "loadFailed"; readonly endpoint: EndpointId }
  | {
    readonly kind: "orderDone";
    readonly endpoint: EndpointId;
    readonly accepted: boolean;
  }
  | { readonly kind: "request"; readonly head: RequestHead }
  | {
    readonly kind: "body";
    readonly request: RequestId;
    readonly facts: BodyFacts;
  }
  | {
    readonly kind: "bodyFailed";
    readonly request: RequestId;
    readonly detail: string;
  }
  | { readonly kind: "commit"; readonly attempt: AttemptId }
  | { readonly kind: "firstToken"; readonly attempt: AttemptId }
  | {
    readonly kind: "progress";
    readonly attempt: AttemptId;
    readonly offset: number;
  }
  | {
    readonly kind: "attemptEnded";
    readonly attempt: AttemptId;
    readonly end: AttemptEnd;
  }
  | { readonly kind: "callerGone"; readonly request: RequestId };

/** An order to an engine to serve a model. */
export interface EngineOrder {
  readonly endpoint: EndpointId;
  readonly url: string;
  readonly model: string;
  /** Fencing number: the revision of the configuration that requires the order. */
  readonly fence: number;
  /** Model that the engine is expected to serve now. An engine that serves another one refuses the order. */
  readonly expected: string;
}

/** An action for the shell to carry out. */
export type Effect =
  | { readonly kind: "readBody"; readonly request: RequestId }
  | { readonly kind: "dispatch"; readonly attempt: Attempt }
  /** Answer to `commit`: write the request now. Without it, the shell must write nothing. */
  | { readonly kind: "proceed"; readonly attempt: AttemptId }
  | { readonly kind: "abort"; readonly attempt: AttemptId }
  | {
    readonly kind: "finish";
    readonly request: RequestId;
    readonly answer: FinalAnswer;
  }
  | {
    readonly kind: "sendHeartbeat";
    readonly url: string;
    readonly heartbeat: Heartbeat;
  }
  | {
    readonly kind: "copyConfiguration";
    readonly from: Incarnation;
    readonly url: string;
    readonly have: Revision;
  }
  /** Read the configuration service: with `wait`, wait for a revision after `after`, otherwise answer at once. */
  | {
    readonly kind: "readConfiguration";
    readonly after: ServiceRevision;
    readonly wait: boolean;
  }
  | { readonly kind: "listVms" }
  | {
    readonly kind: "sendOutcome";
    readonly url: string;
    readonly copy: OutcomeCopy;
  }
  | {
    readonly kind: "sendHandOver";
    readonly url: string;
    readonly handOver: KeyHandOver;
  }
  | {
    readonly kind: "sendQuarantine";
    readonly url: string;
    readonly news: QuarantineUpdate;
  }
  | {
    readonly kind: "pollLoad";
    readonly endpoint: EndpointId;
    readonly url: string;
  }
  | { readonly kind: "order"; readonly order: EngineOrder }
  | {
    readonly kind: "log";
    readonly part: LogPart;
    readonly text: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }
  /** The process may end: all requests have been answered, and all hand-overs have ended or timed out. */
  | { readonly kind: "exit" };

/** Parts of the system that write log lines, each with a fixed prefix. */
export type LogPart =
  | "config"
  | "member"
  | "endpoint"
  | "route"
  | "action"
  | "quarantine"
  | "order"
  | "stop";

/** Adds an effect for the shell to carry out. */
export type Emit = (effect: Effect) => void;
