"""Names of the platform: headers, paths, variables and store keys."""

__all__ = [
    "ACCOUNT",
    "API_KEY",
    "CALLER_SERVICE",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "INSTANCE_ID",
    "NOT_RUN",
    "OPERATOR_KEY",
    "OPERATOR_TABLE",
    "READY_PATH",
    "REQUEST_ID",
    "RETRY_AFTER",
    "RPC_PATH",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_STAMP",
    "SETTINGS_VARIABLE",
    "STORE_ERA",
]

SETTINGS_VARIABLE = "DOGWOODDOCK_NODE_FILE"

REQUEST_ID = b"dogwooddock-request-id"
DEADLINE_MS = b"dogwooddock-deadline-ms"
EXPECT_INSTANCE = b"dogwooddock-expect-instance"
CALLER_SERVICE = b"dogwooddock-caller-service"
API_KEY = b"x-api-key"
ACCOUNT = b"dogwooddock-tenant"
INSTANCE_ID = b"dogwooddock-instance-id"
NOT_RUN = b"dogwooddock-not-run"
SERVER_STAMP = b"dogwooddock-server-stamp"
# Requests a second that a target accepts from all VMs together.
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
STORE_ERA = b"store-era"

READY_PATH = b"/ready"
RPC_PATH = b"/rpc"

OPERATOR_TABLE = "op"
OPERATOR_KEY = "config"
