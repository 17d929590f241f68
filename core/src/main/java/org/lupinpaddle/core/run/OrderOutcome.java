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

/** What became of an order to a worker. */
public enum OrderOutcome {
    /** Carried out, now or before. */
    ACCEPTED,
    /** Refused: a newer owner has raised the worker's fence. */
    FENCED,
    /** Refused: the run's number is not above one that was stopped or ended there. */
    OLD_RUN,
    /** Refused: the deadline has passed on the worker's clock. */
    LATE,
    /** Refused: the worker has no room. */
    NO_ROOM,
    /** Refused: the ticket is missing, wrong or has expired. */
    NO_TICKET,
    /** Refused: the worker is not well and has done nothing. */
    UNHEALTHY,
    /** Refused: the order was malformed. */
    MALFORMED,
    /** Another life of the worker answers at this address. */
    OTHER_LIFE,
    /** The order never left: no connection could be made. */
    NOT_SENT,
    /** No answer: it may have been carried out, or may be carried out later. */
    UNKNOWN;

    /** Returns whether nothing came back from the worker. */
    public boolean isSilence() {
        return this == NOT_SENT || this == UNKNOWN;
    }

    /** Returns whether this order, by itself, is certain not to have been carried out. */
    public boolean refused() {
        return switch (this) {
            case OLD_RUN, LATE, NO_ROOM, NO_TICKET, UNHEALTHY, MALFORMED, NOT_SENT -> true;
            case ACCEPTED, FENCED, OTHER_LIFE, UNKNOWN -> false;
        };
    }
}
