/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.run;

/** The outcome of an order to a worker. */
public enum OrderOutcome {
    /** Executed now, or by an earlier copy of the order. */
    ACCEPTED,
    /** Refused: the worker has seen an order with a higher fencing token, of a later owner or of this one. */
    FENCED,
    /** Refused: a run with this or a higher number has been stopped or has ended there. */
    OLD_RUN,
    /** Refused: the deadline has passed on the worker's clock. */
    LATE,
    /** Refused: the worker has no room. */
    NO_ROOM,
    /** Refused: the ticket is missing, wrong or has expired. */
    NO_TICKET,
    /** Refused: the worker is unhealthy and did nothing. */
    UNHEALTHY,
    /** Refused: the order was malformed. */
    MALFORMED,
    /** Another incarnation of the worker answers at this address. */
    OTHER_LIFE,
    /** The order was not sent: no connection could be established. */
    NOT_SENT,
    /** No answer: the order may have been executed, or may be executed later. */
    UNKNOWN;

    /** Returns whether the worker gave no response. */
    public boolean isSilence() {
        return this == NOT_SENT || this == UNKNOWN;
    }

    /** Returns whether the worker adopted the deadline of a start with this outcome; this applies to all of its runs. */
    public boolean adoptsDeadline() {
        return switch (this) {
            case ACCEPTED, OLD_RUN, NO_ROOM -> true;
            case FENCED, LATE, NO_TICKET, UNHEALTHY, MALFORMED, OTHER_LIFE, NOT_SENT, UNKNOWN -> false;
        };
    }

    /** Returns whether this copy of the order has certainly not been executed. */
    public boolean refused() {
        return switch (this) {
            case OLD_RUN, LATE, NO_ROOM, NO_TICKET, UNHEALTHY, MALFORMED, NOT_SENT -> true;
            case ACCEPTED, FENCED, OTHER_LIFE, UNKNOWN -> false;
        };
    }
}
