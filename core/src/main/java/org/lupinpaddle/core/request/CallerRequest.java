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
package org.lupinpaddle.core.request;

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Urgency;

/**
 * The metadata of a caller's request, without the body.
 *
 * @param id the id of this request, unique among all entries
 * @param service the service whose workers run it
 * @param urgency its urgency class
 * @param arrival the arrival time, in milliseconds of the entry's clock
 * @param deadline the time after which a response is of no use, in milliseconds of the entry's clock
 * @param repeatable whether it may safely run more than once
 * @param jobId the caller's id of the job, the same for each request that retries it; null if there is none
 * @param memoryMb the declared memory need, in megabytes; 0 if none is declared
 */
public record CallerRequest(
        String id,
        String service,
        Urgency urgency,
        long arrival,
        long deadline,
        boolean repeatable,
        @Nullable String jobId,
        int memoryMb) {

    /** Returns whether a claim in the store must be acquired before the request is sent to a worker. */
    public boolean requiresClaim() {
        return !repeatable && jobId != null;
    }

    /** Returns a builder for a request with this id. */
    public static Builder builder(String id, String service) {
        return new Builder(id, service);
    }

    /** Builds a {@link CallerRequest}. */
    public static final class Builder {
        private final String id;
        private final String service;
        private Urgency urgency = Urgency.NORMAL;
        private long arrival;
        private long deadline;
        private boolean repeatable;
        private @Nullable String jobId;
        private int memoryMb;

        private Builder(String id, String service) {
            this.id = id;
            this.service = service;
        }

        /** Sets the urgency class. */
        public Builder urgency(Urgency u) {
            this.urgency = u;
            return this;
        }

        /** Sets arrival and deadline, in milliseconds. */
        public Builder times(long from, long until) {
            this.arrival = from;
            this.deadline = until;
            return this;
        }

        /** Sets whether the request may safely run more than once. */
        public Builder repeatable(boolean r) {
            this.repeatable = r;
            return this;
        }

        /** Sets the caller's id of the job. */
        public Builder jobId(@Nullable String j) {
            this.jobId = j;
            return this;
        }

        /** Sets the declared memory in megabytes. */
        public Builder memoryMb(int mb) {
            this.memoryMb = mb;
            return this;
        }

        /** Returns the request. */
        public CallerRequest build() {
            return new CallerRequest(id, service, urgency, arrival, deadline, repeatable, jobId, memoryMb);
        }
    }
}
