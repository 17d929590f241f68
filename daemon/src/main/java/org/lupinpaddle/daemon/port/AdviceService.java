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
package org.lupinpaddle.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.run.AdviceRequest;
import org.lupinpaddle.core.run.AdviceResult;

/** The platform service that advises which workers are suitable for a step. */
public interface AdviceService {

    /** Requests advice. The future never completes exceptionally. */
    CompletableFuture<AdviceResult> advise(AdviceRequest order);
}
